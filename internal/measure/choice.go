package measure

import (
	"context"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/route"
)

// simParallel bounds the simulations that run at once.
const simParallel = 6

// choicePolicies are the compared policies; the last one is in use.
var choicePolicies = []struct {
	name string
	make func(intN func(int) int) route.Policy
}{
	{"round robin", startedAnywhere},
	{"random", func(intN func(int) int) route.Policy { return route.Random{IntN: intN} }},
	{"least reported load", func(func(int) int) route.Policy { return route.LeastLoad{} }},
	{"two choices", func(intN func(int) int) route.Policy { return route.TwoChoices{IntN: intN} }},
	{"affinity", func(intN func(int) int) route.Policy {
		return &route.Affinity{Fallback: route.TwoChoices{IntN: intN}}
	}},
}

// startedAnywhere returns a round robin that begins at a random target, as nodes
// that started at different times do.
func startedAnywhere(intN func(int) int) route.Policy {
	policy := &route.RoundRobin{}
	for range intN(1000) {
		policy.Choose([]*route.Target{nil}, route.Request{}, time.Time{})
	}
	return policy
}

// choiceSystems are the sizes and faults under which a group is chosen.
func choiceSystems() []choiceCase {
	var cases []choiceCase
	for _, size := range []choiceCase{
		{name: "9 nodes", nodes: 9, groups: 15, spread: time.Second, load: 1, space: kvTokens},
		{name: "380 nodes", nodes: 380, groups: 75, spread: 1300 * time.Millisecond, load: 1, space: kvTokens},
	} {
		straggler, lost := size, size
		straggler.stragglers = size.groups / 15
		straggler.name += ", stragglers"
		lost.lost = true
		lost.name += ", group lost"
		busy := size
		busy.load = busierLoad
		busy.name += ", a quarter more load"
		small := size
		small.space = kvTokens / 2
		small.name += ", half the cache"
		cases = append(cases, size, straggler, lost)
		if size.nodes < 100 {
			// One size is enough for these; the larger one takes much longer.
			cases = append(cases, busy, small)
		}
	}
	return cases
}

// busierLoad multiplies the requests of the design point, to show what a cache
// that works is worth.
const busierLoad = 1.25

// simGC is the growth of the heap between collections while simulations run;
// their tables are short-lived.
const simGC = 400

// choice compares the policies that choose a group for a request.
func choice(ctx context.Context, seed uint64, emit Emit) error {
	defer debug.SetGCPercent(debug.SetGCPercent(simGC))
	type run struct {
		policy string
		sim    *choiceSim
	}
	var runs []run
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(simParallel)
	for _, c := range choiceSystems() {
		for _, policy := range choicePolicies {
			runs = append(runs, run{policy.name, nil})
			r := len(runs) - 1
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				sim := newChoiceSim(c, seed, policy.make)
				sim.run()
				sim.release()
				runs[r].sim = sim
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, r := range runs {
		r.sim.emit(r.policy, emit)
	}
	return nil
}

// emit writes the figures of one simulation.
func (s *choiceSim) emit(policy string, emit Emit) {
	const micro = 1e6
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p95", 95}, {"p99", 99}} {
		emit(policy, s.name+", time to first token "+q.name, float64(s.result.first.ValueAtQuantile(q.at))/micro, "s")
		emit(policy, s.name+", time between tokens "+q.name, float64(s.result.between.ValueAtQuantile(q.at))/1e3, "ms")
	}
	emit(policy, s.name+", goodput", float64(s.result.good)/float64(max(s.result.arrived, 1)), "of requests")
	emit(policy, s.name+", prompt tokens from cache", s.result.hit/max(s.result.prompt, 1), "of tokens")
	emit(policy, s.name+", imbalance", s.imbalance(), "busiest/mean")
}

// imbalance is the work of the busiest group next to the mean.
func (s *choiceSim) imbalance() float64 {
	var most, sum float64
	for i, e := range s.engines {
		served := e.served - s.result.servedAtStart[i]
		most, sum = max(most, served), sum+served
	}
	return most * float64(len(s.engines)) / sum
}

// release drops what the figures don't need.
func (s *choiceSim) release() {
	s.events, s.callers, s.nodes, s.sent = nil, nil, nil, nil
	for _, e := range s.engines {
		e.waiting, e.running, e.cache = nil, nil, prefixCache{}
	}
}
