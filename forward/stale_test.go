package forward

import (
	"math/rand/v2"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// staleSimulation simulates nodes that choose among groups by outdated reports of the
// other nodes' loads.
type staleSimulation struct {
	rng      *rand.Rand
	own      [][]int
	reported [][]int
	view     [][]int
	total    []int
	events   []staleEvent
	choose   func([]Candidate, func(int) int) int
	// full is the number of requests sent to a group whose slots were all taken.
	full int
	// sent is the number of all requests.
	sent int
}

type staleEvent struct {
	at time.Duration
	do func(now time.Duration)
}

// staleSlots is the number of slots of each group.
const staleSlots = 20

func (w *staleSimulation) after(at time.Duration, do func(time.Duration)) {
	i := sort.Search(len(w.events), func(i int) bool { return w.events[i].at > at })
	w.events = append(w.events, staleEvent{})
	copy(w.events[i+1:], w.events[i:])
	w.events[i] = staleEvent{at, do}
}

// simulateStale returns the fraction of the requests that were sent to a full group.
// The requests occupy the given fraction of all slots, and each node's load is reported
// at an interval and received after the delay.
func simulateStale(nodes, groups int, load float64, delay time.Duration, choose func([]Candidate, func(int) int) int) float64 {
	const interval, service = 190 * time.Millisecond, 1200 * time.Millisecond
	w := &staleSimulation{rng: rand.New(rand.NewPCG(1, 2)), total: make([]int, groups), choose: choose}
	for range nodes {
		w.own = append(w.own, make([]int, groups))
		w.reported = append(w.reported, make([]int, groups))
		w.view = append(w.view, make([]int, groups))
	}
	for n := range nodes {
		var report func(time.Duration)
		report = func(now time.Duration) {
			others := make([]int, groups)
			for g := range groups {
				w.total[g] += w.own[n][g] - w.reported[n][g]
				w.reported[n][g] = w.own[n][g]
				others[g] = w.total[g] - w.reported[n][g]
			}
			w.after(now+delay, func(time.Duration) { w.view[n] = others })
			w.after(now+interval, report)
		}
		w.after(time.Duration(w.rng.Int64N(int64(interval))), report)
	}
	between := float64(service) / (load * staleSlots * float64(groups))
	var arrive func(time.Duration)
	arrive = func(now time.Duration) {
		w.send(w.rng.IntN(nodes), now, time.Duration(w.rng.ExpFloat64()*float64(service)))
		w.after(now+time.Duration(w.rng.ExpFloat64()*between), arrive)
	}
	w.after(0, arrive)
	for len(w.events) > 0 && w.events[0].at < 12*time.Second {
		e := w.events[0]
		w.events = w.events[1:]
		e.do(e.at)
	}
	return float64(w.full) / float64(w.sent)
}

func (w *staleSimulation) send(node int, now, service time.Duration) {
	candidates := make([]Candidate, len(w.total))
	for g := range candidates {
		candidates[g] = Candidate{Requests: float64(w.own[node][g] + w.view[node][g]), Slots: staleSlots, SameDomain: true}
	}
	g := w.choose(candidates, w.rng.IntN)
	if g < 0 {
		return
	}
	running := 0
	for n := range w.own {
		running += w.own[n][g]
	}
	if now > 3*time.Second {
		w.sent++
		if running >= staleSlots {
			w.full++
		}
	}
	w.own[node][g]++
	w.after(now+service, func(time.Duration) { w.own[node][g]-- })
}

// leastLoaded chooses the least loaded of all candidates, as Choose did before it drew
// two of them.
func leastLoaded(candidates []Candidate, draw func(int) int) int {
	best, start := -1, draw(len(candidates))
	for i := range candidates {
		at := (i + start) % len(candidates)
		if candidates[at].hasFreeSlot() && (best < 0 || candidates[at].score(staleSlots) < candidates[best].score(staleSlots)) {
			best = at
		}
	}
	return best
}

var _ = Describe("Choose with outdated reports", func() {
	DescribeTable("overloads no group while half of all slots are free",
		func(nodes, groups int, delay time.Duration) {
			// Guards against an overloaded group that all nodes choose at the same time.
			two := simulateStale(nodes, groups, 0.5, delay, func(c []Candidate, draw func(int) int) int { return Choose(c, 0, draw) })
			least := simulateStale(nodes, groups, 0.5, delay, leastLoaded)
			AddReportEntry("sent to full groups", map[string]float64{"two choices": two, "least loaded": least})
			Expect(two).To(BeNumerically("<", 0.02))
			Expect(two).To(BeNumerically("<", least))
		},
		Entry("7 nodes, 12 groups", 7, 12, 50*time.Millisecond),
		Entry("40 nodes, 37 groups", 40, 37, 100*time.Millisecond),
		Entry("88 nodes, 37 groups", 88, 37, 250*time.Millisecond),
	)
})
