package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// afterWarmUp is when the faults of a play begin.
const afterWarmUp = 3 * time.Second

// lossy returns a fault that resets a fraction of the requests, half of them in the middle.
func lossy(share float64) func(time.Duration, *rand.Rand) fault {
	return func(at time.Duration, r *rand.Rand) fault {
		switch {
		case at < afterWarmUp || r.Float64() >= share:
			return noFault
		case r.IntN(2) == 0:
			return resetEarly
		}
		return resetLate
	}
}

func always(f fault) func(time.Duration, *rand.Rand) fault {
	return func(at time.Duration, _ *rand.Rand) fault {
		if at < afterWarmUp {
			return noFault
		}
		return f
	}
}

// Guards against a group that gets no requests for seconds because it has lost one answer,
// while callers are refused for lack of slots; and against callers that are sent to failing
// groups while sound ones are idle.
func TestCallersBesideEnginesThatFailRequests(t *testing.T) {
	const groups, slots = 25, 34
	play := func(t *testing.T, nodes int, load float64, prepare func(*doubt)) (shares map[string]float64) {
		synctest.Test(t, func(t *testing.T) {
			d := newDoubt(nodes, groups, slots)
			prepare(d)
			d.play(load, 9*time.Second, 150*time.Millisecond, 150*time.Millisecond)
			shares = d.shares(afterWarmUp, 9*time.Second)
			t.Logf("%d nodes, load %.2f, %d requests: in time %.3f, late %.3f, refused %.3f, failed %.3f; sent to i-0: %d", nodes, load, len(d.results),
				shares[inTime], shares[late], shares[refused], shares[failed], len(d.engines["i-0"].sent))
		})
		return shares
	}
	// sound holds the outcomes beside sound engines, by nodes and load.
	sound := map[string]map[string]float64{}
	for _, test := range []struct {
		name    string
		faulty  int
		fault   func(time.Duration, *rand.Rand) fault
		crashAt time.Duration
		stopAt  time.Duration
		load    float64
		// inTime is the least fraction of answers in time, relative to callers beside sound
		// engines at the same load, and lost the largest fraction without an answer.
		inTime, lost float64
	}{
		{name: "one answer in a hundred lost at 60 in 100 of the engines", faulty: 15, fault: lossy(0.01), load: 0.85, inTime: 0.95, lost: 0.01},
		{name: "one in ten lost at 60 in 100", faulty: 15, fault: lossy(0.1), load: 0.85, inTime: 0.95, lost: 0.01},
		{name: "two in five lost at 60 in 100", faulty: 15, fault: lossy(0.4), load: 0.5, inTime: 0.95, lost: 0.02},
		{name: "two in five lost at 60 in 100, shortage", faulty: 15, fault: lossy(0.4), load: 0.9, inTime: 0.85, lost: 0.06},
		{name: "one in ten lost at all engines", faulty: groups, fault: lossy(0.1), load: 0.85, inTime: 0.95, lost: 0.01},
		{name: "each second stream reset at one engine", faulty: 1, fault: lossy(0.5), load: 0.7, inTime: 0.98, lost: 0.01},
		{name: "an engine that crashes", faulty: 1, crashAt: afterWarmUp, load: 0.7, inTime: 0.98, lost: 0.01},
		{name: "an engine that stops", faulty: 1, stopAt: afterWarmUp, load: 0.7, inTime: 0.95, lost: 0.01},
		{name: "an engine that is mute to new requests", faulty: 1, fault: always(mute), load: 0.7, inTime: 0.95, lost: 0.01},
		{name: "an engine that resets everything", faulty: 1, fault: always(resetEarly), load: 0.7, inTime: 0.98, lost: 0.01},
		{name: "three engines that reset everything, little room beside them", faulty: 3, fault: always(resetEarly), load: 0.8, inTime: 0.9, lost: 0.01},
	} {
		for _, nodes := range []int{9, 31, 63} {
			t.Run(fmt.Sprintf("%s, %d nodes", test.name, nodes), func(t *testing.T) {
				g := NewWithT(t)
				key := fmt.Sprint(nodes, test.load)
				if sound[key] == nil {
					sound[key] = play(t, nodes, test.load, func(*doubt) {})
				}
				shares := play(t, nodes, test.load, func(d *doubt) {
					for i := range test.faulty {
						e := d.engines[fmt.Sprint("i-", i)]
						e.crashAt, e.stopAt = test.crashAt, test.stopAt
						if test.fault != nil {
							e.fault = test.fault
						}
					}
				})
				g.Expect(shares[inTime]).To(BeNumerically(">=", test.inTime*sound[key][inTime]))
				g.Expect(shares[refused] + shares[failed]).To(BeNumerically("<=", test.lost))
			})
		}
	}
}

// Guards against a group whose loss is noticed late: its members are probed once it is silent or
// gone to two nodes, which takes the time of a stall after the first requests of two nodes.
func TestTwoNodesKnowOfALostGroupAtTheFirstStall(t *testing.T) {
	for name, prepare := range map[string]func(*doubtedEngine){
		"stopped": func(e *doubtedEngine) { e.stopAt = afterWarmUp },
		"crashed": func(e *doubtedEngine) { e.crashAt = afterWarmUp },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := newDoubt(31, 25, 34)
				prepare(d.engines["i-0"])
				known := make(chan time.Duration, 1)
				go func() {
					for started := time.Now(); time.Since(started) < 8*time.Second; time.Sleep(10 * time.Millisecond) {
						n := 0
						for _, node := range d.nodes {
							if node.tables.Load().Target("i-0").Load.Suspected(time.Now()) {
								n++
							}
						}
						if n >= 2 {
							known <- time.Since(started) - afterWarmUp
							return
						}
					}
					known <- time.Hour
				}()
				d.play(0.7, 5*time.Second, 150*time.Millisecond, 150*time.Millisecond)
				after := <-known
				t.Logf("known to two nodes after %v", after)
				g.Expect(after).To(BeNumerically("<=", doubtStall+300*time.Millisecond))
			})
		})
	}
}
