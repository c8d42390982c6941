package forward

import (
	"math/rand/v2"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// staleWorld plays nodes that choose among groups by loads that are some time old.
type staleWorld struct {
	rng    *rand.Rand
	own    [][]int
	told   [][]int
	view   [][]int
	total  []int
	events []staleEvent
	choose func([]Candidate, func(int) int) int
	// full counts requests sent to a group whose slots were all taken, sent all.
	full, sent int
}

type staleEvent struct {
	at time.Duration
	do func(now time.Duration)
}

// staleSlots is the number of slots of each group.
const staleSlots = 20

func (w *staleWorld) after(at time.Duration, do func(time.Duration)) {
	i := sort.Search(len(w.events), func(i int) bool { return w.events[i].at > at })
	w.events = append(w.events, staleEvent{})
	copy(w.events[i+1:], w.events[i:])
	w.events[i] = staleEvent{at, do}
}

// playStale returns the part of the requests that were sent to a full group, with
// requests for a share of all slots and news that take a delay after each interval.
func playStale(nodes, groups int, load float64, delay time.Duration, choose func([]Candidate, func(int) int) int) float64 {
	const interval, service = 190 * time.Millisecond, 1200 * time.Millisecond
	w := &staleWorld{rng: rand.New(rand.NewPCG(1, 2)), total: make([]int, groups), choose: choose}
	for range nodes {
		w.own = append(w.own, make([]int, groups))
		w.told = append(w.told, make([]int, groups))
		w.view = append(w.view, make([]int, groups))
	}
	for n := range nodes {
		var tell func(time.Duration)
		tell = func(now time.Duration) {
			others := make([]int, groups)
			for g := range groups {
				w.total[g] += w.own[n][g] - w.told[n][g]
				w.told[n][g] = w.own[n][g]
				others[g] = w.total[g] - w.told[n][g]
			}
			w.after(now+delay, func(time.Duration) { w.view[n] = others })
			w.after(now+interval, tell)
		}
		w.after(time.Duration(w.rng.Int64N(int64(interval))), tell)
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

func (w *staleWorld) send(node int, now, service time.Duration) {
	candidates := make([]Candidate, len(w.total))
	for g := range candidates {
		candidates[g] = Candidate{Requests: float64(w.own[node][g] + w.view[node][g]), Slots: staleSlots, Near: true}
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

// leastLoaded is the rule that Choose replaced.
func leastLoaded(candidates []Candidate, draw func(int) int) int {
	best, start := -1, draw(len(candidates))
	for i := range candidates {
		at := (i + start) % len(candidates)
		if candidates[at].hasPlace() && (best < 0 || candidates[at].score(staleSlots) < candidates[best].score(staleSlots)) {
			best = at
		}
	}
	return best
}

var _ = Describe("Choice from stale news", func() {
	DescribeTable("overfills no group while half of all places are free",
		func(nodes, groups int, delay time.Duration) {
			// Guards against all nodes choosing the same group.
			two := playStale(nodes, groups, 0.5, delay, Choose)
			least := playStale(nodes, groups, 0.5, delay, leastLoaded)
			AddReportEntry("sent to full groups", map[string]float64{"two choices": two, "least loaded": least})
			Expect(two).To(BeNumerically("<", 0.02))
			Expect(two).To(BeNumerically("<", least))
		},
		Entry("7 nodes, 12 groups", 7, 12, 50*time.Millisecond),
		Entry("40 nodes, 37 groups", 40, 37, 100*time.Millisecond),
		Entry("88 nodes, 37 groups", 88, 37, 250*time.Millisecond),
	)
})
