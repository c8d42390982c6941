package measure

import (
	"context"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/route"
)

// simConcurrency limits the simulations that run concurrently.
const simConcurrency = 6

// choicePolicies are the compared policies; the last one is the one that nodes use.
var choicePolicies = []struct {
	name string
	make func(intN func(int) int) route.Policy
}{
	{"round robin", randomStartRoundRobin},
	{"random", func(intN func(int) int) route.Policy { return route.Random{IntN: intN} }},
	{"least reported load", func(func(int) int) route.Policy { return route.LeastLoad{} }},
	{"two choices", func(intN func(int) int) route.Policy { return route.TwoChoices{IntN: intN} }},
	{"affinity", func(intN func(int) int) route.Policy {
		return &route.Affinity{Fallback: route.TwoChoices{IntN: intN}}
	}},
}

// randomStartRoundRobin returns a round-robin policy that begins at a random target,
// as on nodes that started at different times.
func randomStartRoundRobin(intN func(int) int) route.Policy {
	policy := &route.RoundRobin{}
	for range intN(1000) {
		policy.Choose([]*route.Target{nil}, route.Request{}, time.Time{})
	}
	return policy
}

// choiceCases returns the cases: each system size without a fault, with stragglers
// and with a lost group, and the small size also with more load and less cache.
func choiceCases() []choiceCase {
	var cases []choiceCase
	for _, size := range []choiceCase{
		{name: "9 nodes", nodes: 9, groups: 15, reportDelay: time.Second, loadFactor: 1, kvCapacity: kvTokens},
		{name: "380 nodes", nodes: 380, groups: 75, reportDelay: 1300 * time.Millisecond, loadFactor: 1, kvCapacity: kvTokens},
	} {
		straggler, lost := size, size
		straggler.stragglers = size.groups / 15
		straggler.name += ", stragglers"
		lost.groupLost = true
		lost.name += ", group lost"
		busy := size
		busy.loadFactor = increasedLoad
		busy.name += ", a quarter more load"
		small := size
		small.kvCapacity = kvTokens / 2
		small.name += ", half the cache"
		cases = append(cases, size, straggler, lost)
		if size.nodes < 100 {
			// One size is enough for these; the larger one takes much longer to run.
			cases = append(cases, busy, small)
		}
	}
	return cases
}

// increasedLoad multiplies the request rate of the design point, to show the benefit
// of prefix cache hits.
const increasedLoad = 1.25

// simGCPercent is the GOGC value while simulations run. It is high because their
// routing tables are short-lived.
const simGCPercent = 400

// choice compares the policies that choose a group for a request.
func choice(ctx context.Context, seed uint64, emit Emit) error {
	defer debug.SetGCPercent(debug.SetGCPercent(simGCPercent))
	type run struct {
		policy string
		sim    *choiceSim
	}
	var runs []run
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(simConcurrency)
	for _, c := range choiceCases() {
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

// emit emits the figures of one simulation.
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
	emit(policy, s.name+", prompt tokens from cache", s.result.cachedPromptTokens/max(s.result.promptTokens, 1), "of tokens")
	emit(policy, s.name+", imbalance", s.imbalance(), "busiest/mean")
}

// imbalance returns the tokens processed by the busiest group divided by the mean of
// all groups.
func (s *choiceSim) imbalance() float64 {
	var most, sum float64
	for i, e := range s.engines {
		served := e.servedTokens - s.result.servedAtWarmUp[i]
		most, sum = max(most, served), sum+served
	}
	return most * float64(len(s.engines)) / sum
}

// release frees the memory that is not needed for the figures.
func (s *choiceSim) release() {
	s.events, s.population, s.nodes, s.admitted = nil, nil, nil, nil
	for _, e := range s.engines {
		e.waiting, e.running, e.cache = nil, nil, prefixCache{}
	}
}
