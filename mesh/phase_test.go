package mesh

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against rounds that don't follow the leader's, and against a node that sends more
// or less often because of a leader that is lost, late or has another interval.
func TestPhaseFollowsSummariesOfTheLeader(t *testing.T) {
	g := NewWithT(t)
	leader, other := netip.MustParseAddrPort("10.0.0.1:7340"), netip.MustParseAddrPort("10.0.0.2:7340")
	const interval, lead = 100 * time.Millisecond, 25 * time.Millisecond
	start := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var p phase
	p.follow(leader, true, lead)
	g.Expect(p.wait(at(0), interval)).To(Equal(interval), "without a summary")
	p.observe(leader, true, at(10))
	p.observe(other, true, at(40))
	p.observe(leader, false, at(60))
	p.observe(leader, true, at(112))
	g.Expect(p.wait(at(150), interval)).To(Equal(137*time.Millisecond), "25 ms before the summary at 312")
	g.Expect(p.wait(at(187), interval)).To(Equal(interval), "aligned")
	g.Expect(p.wait(at(263), interval)).To(Equal(interval), "the summary at 212 was lost")
	p.observe(leader, true, at(312))
	g.Expect(p.wait(at(350), interval)).To(Equal(interval), "two intervals between two summaries")
	p.observe(leader, true, at(412))
	g.Expect(p.wait(at(420), interval)).To(Equal(67 * time.Millisecond))
	p.follow(other, true, lead)
	g.Expect(p.wait(at(420), interval)).To(Equal(interval), "another leader")
}

// Guards against reports that are older than they need to be: a change at a node must be
// in every view within the time in which it passes through the aggregators.
func TestAlignedRoundsShortenTheAgeOfReports(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const nodes = 60
	nw := newNetwork(g, nodes, 21)
	nw.lossRate = 0
	nw.run(6 * time.Second)
	var sum time.Duration
	const changes = 20
	for change := range changes {
		// A change of load at a random moment, at a node that is no aggregator.
		n := nw.ordered[6+nw.rng.IntN(nodes-6)]
		key := Key("changed")
		n.state.Load = map[uint32]Load{Key("all"): NewLoad(2, false), key: NewLoad(100+change, false)}
		began := nw.now
		for seen := 0; seen < nodes-1; {
			nw.run(5 * time.Millisecond)
			g.Expect(nw.now.Sub(began)).To(BeNumerically("<", time.Second))
			seen = 0
			for _, other := range nw.ordered {
				if other != n && other.mesh.Running("changed") == 100+change {
					seen++
				}
			}
		}
		sum += nw.now.Sub(began)
		n.state.Load = map[uint32]Load{Key("all"): NewLoad(2, false)}
		nw.run(500*time.Millisecond + time.Duration(nw.rng.IntN(100))*time.Millisecond)
	}
	// Half an interval until the node reports, and its lead before the aggregators' round.
	t.Logf("a change reached all views after %v on average", sum/changes)
	g.Expect(sum / changes).To(BeNumerically("<", sendInterval+maxStateLead+totalDelay))
}
