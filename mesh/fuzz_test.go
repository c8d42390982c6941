package mesh

import (
	"bytes"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/throttle"
)

// newTestMesh returns a mesh of a node without others.
func newTestMesh() *Mesh {
	return New(Config{Node: "a", Address: "10.0.0.1:7340"}, func() State { return State{} }, nil, log.NewNopLogger(), metrics.NewRegistry())
}

// FuzzAccept guards against a datagram that ends the process, when it is received or when
// the next messages are prepared from it.
func FuzzAccept(f *testing.F) {
	now := time.Unix(1e9, 0)
	node := Node{Name: "b", Boot: 1, Count: 1, PeerAddress: "10.0.0.2:7340", FailureDomain: "z", Serving: true}
	state := State{Node: node, Load: map[uint32]Load{1: NewLoad(2, true)}, Demand: map[string]float32{"m": 1},
		Waiting: map[string]uint16{"m": 1}, Suspects: map[uint32]suspicion.Report{1: suspicion.Evidence{Hold: suspicion.Gone}.Report(0)}, KnownPeers: []string{"10.0.0.3:7340", "x"}, WantsSummary: true}
	sum := newSum()
	sum.addState(&state)
	member := Member{Node: Node{Name: "c", Boot: 1, Count: 1, PeerAddress: "10.0.0.3:7340"}, Gone: true}
	for _, message := range []any{
		datagram{State: &state},
		datagram{Summary: &Summary{From: node, Total: true, Sum: sum, Members: []Member{member}}},
		datagram{Summary: &Summary{From: node, Sum: &Sum{}}},
		partDatagram{Summary: &Summary{From: node, Sum: sum}, Part: Part{Index: 1, Count: 2}},
		observedDatagram{&Observed{node.PeerAddress, ScopeAll.of(quarantine.Requests), &quarantine.Observations{Strikes: []quarantine.Strike{{Part: 3}}}}},
		observedDatagram{&Observed{node.PeerAddress, ScopeDomain, &quarantine.Observations{
			Strikes: []quarantine.Strike{{Engine: 1, Prompt: 2, Part: 3}}, Clearances: []quarantine.Clearance{{Part: 3}},
			Notices: []quarantine.Notice{{Parts: []quarantine.Part{3}, RemainingMs: 9}}}}},
	} {
		data, err := marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{partDatagramHeader})
	// A list of strikes that declares two billion of them.
	f.Add([]byte("\x91\x93\xa1x\x01\x93\xdd{87\ri\x95"))
	notices, err := marshal([]throttle.Notice{{Server: 1, Limited: true, Rate: 2, AgeMs: 3}, {Server: 2}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte{noticeHeader}, notices...))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		m := newTestMesh()
		m.notices = throttle.NewRegistry(throttle.Config{}, log.NewNopLogger(), metrics.NewRegistry())
		for range 2 {
			if d, part, err := decode(data); err == nil {
				m.acceptDatagram(d, part, now)
			}
			m.prepare(State{Node: Node{Name: "a", PeerAddress: "10.0.0.1:7340", FailureDomain: "z", Boot: 1, Count: 1}}, now)
		}
		for _, slots := range m.View().Others.Demand {
			g.Expect(math.IsNaN(float64(slots)) || math.IsInf(float64(slots), 0)).To(BeFalse())
		}
	})
}

// Guards against a demand that isn't a number, which would stay in every average that it
// is added to.
func TestRejectsInvalidDemand(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh()
	from := netip.MustParseAddrPort("10.0.0.2:7340")
	for _, slots := range []float32{float32(math.NaN()), float32(math.Inf(1)), -1} {
		data, err := marshal(datagram{State: &State{Node: Node{Name: "b", Boot: 1, PeerAddress: from.String()}, Demand: map[string]float32{"m": slots}}})
		g.Expect(err).NotTo(HaveOccurred())
		m.accept(data, from, time.Now())
		g.Expect(m.byAddress).To(BeEmpty())
	}
	g.Expect(m.rejected.Count()).To(BeEquivalentTo(3))
}

// Guards against an absurd value of one node that counts as news for good, changes the
// shares of all others, or costs the other members of a summary, and against a log line for
// each of its messages.
func TestAbsurdValuesCostOnlyTheirNode(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh()
	lines := &bytes.Buffer{}
	m.logger = log.NewLogfmtLogger(lines)
	node := func(name string, version uint64) Node {
		return Node{Name: name, Boot: 1, Count: 1, PeerAddress: "10.0.0." + strconv.Itoa(len(name)) + ":7340", ConfigurationVersion: version}
	}
	accept := func(message any) {
		data, err := marshal(message)
		g.Expect(err).NotTo(HaveOccurred())
		m.accept(data, netip.MustParseAddrPort("10.0.0.2:7340"), time.Now())
	}
	for range 500 {
		accept(datagram{State: &State{Node: node("bb", math.MaxUint64)}})
		accept(datagram{State: &State{Node: node(strings.Repeat("b", 1<<14), 7)}})
		accept(datagram{Summary: &Summary{From: node("bb", 7), Sum: &Sum{Domains: map[string]uint16{"z": math.MaxUint16}}}})
	}
	g.Expect(m.byAddress).To(BeEmpty())
	accept(datagram{Summary: &Summary{From: node("bb", 7), Sum: newSum(), Members: []Member{{Node: node("ccc", math.MaxUint64)}, {Node: node("dddd", 8)}}}})
	g.Expect(m.byAddress).To(HaveLen(2))
	g.Expect(m.rejected.Count()).To(BeEquivalentTo(1501))
	g.Expect(strings.Count(lines.String(), "\n")).To(BeNumerically("<", 30))
	g.Expect(lines.Len()).To(BeNumerically("<", 10_000))
}

// Guards against a process that ends because of an unexpected error in one message.
func TestSurvivesAPanicInOneMessage(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh()
	from := netip.MustParseAddrPort("10.0.0.2:7340")
	data, err := marshal(datagram{State: &State{Node: Node{Name: "b", Boot: 1, PeerAddress: from.String()}}})
	g.Expect(err).NotTo(HaveOccurred())
	m.byAddress = nil
	m.accept(data, from, time.Now())
	g.Expect(m.rejected.Count()).To(BeEquivalentTo(1))
	m.members = newMembers()
	m.accept(data, from, time.Now())
	g.Expect(m.byAddress).To(HaveLen(1))
}

// Guards against a node whose states count as outdated for good, because an invalid
// record of its loss made its count wrap around.
func TestIgnoresAnInvalidRecordOfItsLoss(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh()
	m.count = 7
	lost := func(count uint64) Member {
		return Member{Node: Node{Name: "a", PeerAddress: "10.0.0.1:7340", Boot: m.boot, Count: count}, Gone: true}
	}
	m.acceptMember(lost(math.MaxUint64), &Node{}, time.Now())
	g.Expect(m.nextCount()).To(BeEquivalentTo(8))
	m.acceptMember(lost(20), &Node{}, time.Now())
	g.Expect(m.nextCount()).To(BeEquivalentTo(21))
}
