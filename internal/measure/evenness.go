package measure

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// evenCases returns the cases: each deployment at each load, and at one load with groups of
// uneven pace, with nodes that stop and start, and with late reports.
func evenCases() []evenCase {
	var cases []evenCase
	for _, size := range []evenCase{
		{nodes: 9, groups: 12, slots: 20},
		{nodes: 63, groups: 24, slots: 20},
		{nodes: 295, groups: 60, slots: 20},
	} {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.1} {
			c := size
			c.name, c.load = fmt.Sprintf("%d nodes, load %.2f", c.nodes, load), load
			cases = append(cases, c)
		}
		uneven, churn := size, size
		uneven.name, uneven.load, uneven.unevenPace = fmt.Sprintf("%d nodes, uneven pace", size.nodes), 0.8, true
		churn.name, churn.load, churn.churn = fmt.Sprintf("%d nodes, nodes come, die and report late", size.nodes), 0.8, true
		cases = append(cases, uneven, churn)
	}
	return cases
}

// evenness compares choices of a group by nodes that know the load of the others late.
func evenness(ctx context.Context, seed uint64, emit Emit) error {
	var sims []*evenSim
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(simConcurrency)
	for _, c := range evenCases() {
		for _, policy := range evenPolicies {
			s := newEvenSim(c, policy, seed)
			sims = append(sims, s)
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				s.run()
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, s := range sims {
		s.emit(emit)
	}
	return nil
}

// emit emits the figures of one simulation.
func (s *evenSim) emit(emit Emit) {
	r := &s.result
	emit(s.policy.name, s.name+", busiest group", r.busiest/float64(max(r.samples, 1)), "busiest/mean")
	emit(s.policy.name, s.name+", spread of groups", r.spread/float64(max(r.samples, 1)), "of mean")
	emit(s.policy.name, s.name+", waited beside a free slot", float64(r.misplaced)/float64(max(r.sent, 1)), "of requests")
	emit(s.policy.name, s.name+", refused", float64(r.refused)/float64(max(r.arrived, 1)), "of requests")
	for _, q := range []float64{50, 90, 99} {
		emit(s.policy.name, fmt.Sprintf("%s, time to first event p%.0f", s.name, q), float64(r.first.ValueAtQuantile(q))/1e3, "ms")
	}
}
