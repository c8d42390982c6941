package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/suspicion"
)

// Guards against a state that is fragmented, or a summary that isn't sent, while all servers of a
// large deployment fail requests; and against reports that are lost or count twice.
func TestReportsAboutServersFitIntoDatagrams(t *testing.T) {
	g := NewWithT(t)
	sum := newSum()
	seen := suspicion.Evidence{Failed: 3, Answered: 200, Hold: suspicion.Silent}.Report(0)
	for n := range 63 {
		s := State{Node: Node{Name: fmt.Sprint("edge-port-spain-", n), CallerAddress: "10.100.200.40:8227", PeerAddress: "10.100.200.40:7340",
			FailureDomain: fmt.Sprint("z", n%3), Serving: true}, Load: map[uint32]Load{}, Waiting: map[string]uint16{"m": 3}, Suspects: map[uint32]suspicion.Report{}}
		for i := range 60 {
			s.Load[Key(fmt.Sprint("i", i))] = NewLoad(3, true)
			s.Suspects[Key(fmt.Sprint("i", i))] = seen
		}
		s.Suspects = suspicion.Worst(s.Suspects)
		data, err := encodeState(&s)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(data)).To(BeNumerically("<=", maxDatagram))
		back, _, err := decode(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back.State.Suspects).To(Equal(s.Suspects))
		sum.addState(&s)
	}
	for i := range 60 {
		sum.Suspects[Key(fmt.Sprint("i", i))] = seen
	}
	parts, _, err := encodeSummary(Summary{From: Node{Name: "edge-port-spain-1"}, Total: true, Sum: sum, Members: make([]Member, maxReported)})
	g.Expect(err).NotTo(HaveOccurred())
	whole, collected := &Summary{}, assembly{}
	for _, data := range parts {
		g.Expect(len(data)).To(BeNumerically("<=", maxDatagram))
		d, part, err := decode(data)
		g.Expect(err).NotTo(HaveOccurred())
		whole = collected.add(d.Summary, part)
	}
	g.Expect(whole.Sum.Suspects).To(Equal(sum.Suspects))
}

// Guards against a node that takes its own evidence for that of others, and against an aggregator
// that adds up verdicts.
func TestEvidenceOfOthersIsTheSumWithoutTheOwn(t *testing.T) {
	g := NewWithT(t)
	state := func(name string, e suspicion.Evidence) *State {
		return &State{Node: Node{Name: name, PeerAddress: name, FailureDomain: "z", Serving: true},
			Suspects: map[uint32]suspicion.Report{Key("i-1"): e.Report(0)}}
	}
	own := state("a", suspicion.Evidence{Failed: 5, Answered: 1, Hold: suspicion.Gone})
	sum := newSum()
	sum.addState(own)
	sum.addState(state("b", suspicion.Evidence{Failed: 1, Answered: 20}))
	sum.addState(state("c", suspicion.Evidence{Hold: suspicion.Silent}))
	others := sum.without(own).Suspects[Key("i-1")]
	g.Expect([]float64{others.Failed(), others.Answered(), float64(others.Silent()), float64(others.Gone())}).To(Equal([]float64{1, 20, 1, 0}))
	g.Expect(sum.without(own).without(state("b", suspicion.Evidence{Failed: 1, Answered: 20})).without(state("c", suspicion.Evidence{Hold: suspicion.Silent})).Suspects).To(BeEmpty())
}

// Guards against reports of a node that has gone: its evidence ends with its state.
func TestEvidenceEndsWithTheStateOfItsNode(t *testing.T) {
	g := NewWithT(t)
	m := New(Config{Node: "a", Address: "10.0.0.1:7340"}, func() State { return State{} }, nil, log.NewNopLogger(), metrics.NewRegistry())
	now := time.Now()
	m.acceptState(&State{Node: Node{Name: "b", Boot: 1, Count: 1, PeerAddress: "10.0.0.2:7340", FailureDomain: "z", Serving: true},
		Suspects: map[uint32]suspicion.Report{Key("i-1"): suspicion.Evidence{Hold: suspicion.Gone}.Report(0)}}, now)
	m.prepare(State{Node: Node{Name: "a", FailureDomain: "z"}}, now)
	g.Expect(m.Evidence("i-1").Gone()).To(Equal(1))
	m.prepare(State{Node: Node{Name: "a", FailureDomain: "z"}}, now.Add(2*stateLifetime))
	g.Expect(m.Evidence("i-1")).To(BeZero())
}
