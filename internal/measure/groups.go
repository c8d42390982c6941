package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/placement"
)

const (
	// groupsPriorityService is the name of the service with the higher priority.
	groupsPriorityService = "needed"
	// groupsOtherService is the name of the service with the lower priority.
	groupsOtherService = "other"
	// groupsConcurrency limits the simulations that run concurrently.
	groupsConcurrency = 6
)

// groupsShape describes a deployment: identical fabric domains, each with groups and
// spare instances.
type groupsShape struct {
	name                          string
	domains, groups, size, spares int
	// other is the number of a domain's groups that run the service with the lower
	// priority.
	other int
	// days is the simulated time, in days.
	days float64
	// downtimeWeight is the users' weight of group downtime against stranded
	// accelerators, from 0 to 1.
	downtimeWeight float64
}

func (s *groupsShape) slots() int { return s.groups*s.size + s.spares }

func (s *groupsShape) service(group int) string {
	if group >= s.groups-s.other {
		return groupsOtherService
	}
	return groupsPriorityService
}

func (s *groupsShape) services() map[string]fleet.Service {
	model := func(name string, priority int) fleet.Service {
		return fleet.Service{Name: name, Kind: fleet.KindModel, Pool: groupsPool, Version: groupsVersion, Priority: priority}
	}
	return map[string]fleet.Service{groupsPriorityService: model(groupsPriorityService, 2), groupsOtherService: model(groupsOtherService, 1)}
}

// groupsShapes returns the deployments. The two with 60 engines run for a day and a
// half; the design size, with ten times as many faults, runs for three hours.
func groupsShapes() []groupsShape {
	var all []groupsShape
	for _, spares := range []int{0, 2} {
		all = append(all,
			groupsShape{name: "maracas", domains: 3, groups: 5, size: 4, spares: spares, days: 1.5, downtimeWeight: 0.8},
			groupsShape{name: "lencana", domains: 3, groups: 5, size: 4, spares: spares, days: 1.5, downtimeWeight: 0.2},
			groupsShape{name: "design", domains: 15, groups: 5, size: 8, spares: spares, other: 2, days: 0.125, downtimeWeight: 0.5})
	}
	return all
}

// groupsPolicies returns the compared policies of the planner: the baselines, and the
// balanced policy with the lowest, a middle and the highest downtime weight.
func groupsPolicies() []groupsPolicy {
	return []groupsPolicy{
		{"wait", placement.Wait{}}, {"replace", placement.Replace{}}, {"merge", placement.Merge{}},
		{"preempt", placement.Preempt{}},
		{"balanced-0", placement.Balanced{DowntimeWeight: 0}},
		{"balanced-0.5", placement.Balanced{DowntimeWeight: 0.5}},
		{"balanced-1", placement.Balanced{DowntimeWeight: 1}},
	}
}

type groupsPolicy struct {
	name   string
	policy placement.Policy
}

// groupsMeasurement measures the forming and repair of groups.
func groupsMeasurement() Measurement { return Measurement{Name: "groups", Run: runGroups} }

func runGroups(ctx context.Context, seed uint64, emit Emit) error {
	if err := runGroupsShapes(ctx, seed, emit); err != nil {
		return err
	}
	if err := runGroupsRack(ctx, seed, emit); err != nil {
		return err
	}
	if err := runGroupsWrongList(ctx, seed, emit); err != nil {
		return err
	}
	return runGroupsBound(ctx, seed, emit)
}

// simulateGroups runs one policy on a shape. Every policy gets the same events.
func simulateGroups(shape *groupsShape, policy placement.Policy, seed uint64, timeline func(domain int, t *groupsTimeline)) (groupsFigures, error) {
	var sum groupsFigures
	horizon := time.Duration(shape.days * float64(24*time.Hour))
	for domain := range shape.domains {
		random := rand.New(rand.NewPCG(seed, groupsRandomStream(shape.name, domain)))
		t := newGroupsTimeline(random, shape.slots(), horizon)
		timeline(domain, t)
		s := newGroupsSim(fmt.Sprintf("f%02d", domain), policy, shape)
		figures, err := s.run(t.sorted(), horizon)
		if err != nil {
			return sum, err
		}
		sum.add(&figures)
	}
	return sum, nil
}

// groupsRandomStream returns the random generator's stream number for a domain.
func groupsRandomStream(name string, domain int) uint64 {
	stream := uint64(domain)
	for _, c := range []byte(name) {
		stream = stream*131 + uint64(c)
	}
	return stream
}

// groupsShapeFaults returns the faults of a shape: the daily faults in every domain,
// an outage of the first domain halfway and a wrong instance list in the second.
func groupsShapeFaults(shape *groupsShape) func(domain int, t *groupsTimeline) {
	return func(domain int, t *groupsTimeline) {
		outageAt := time.Duration(0)
		if domain == 0 {
			outageAt = t.horizon / 2
			t.domainOutage(outageAt)
		}
		if domain == 1 {
			t.wrongList(t.horizon / 4)
		}
		t.faults(groupsDailyFaults, outageAt)
	}
}

// groupsOutcome holds the figures of one policy on one shape.
type groupsOutcome struct {
	shape   *groupsShape
	policy  groupsPolicy
	figures groupsFigures
}

// runGroupsOutcomes calls run for every outcome, several of them concurrently.
func runGroupsOutcomes(ctx context.Context, outcomes []groupsOutcome, run func(o *groupsOutcome) error) error {
	workers, ctx := errgroup.WithContext(ctx)
	workers.SetLimit(groupsConcurrency)
	for i := range outcomes {
		workers.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return run(&outcomes[i])
		})
	}
	return workers.Wait()
}

func runGroupsShapes(ctx context.Context, seed uint64, emit Emit) error {
	shapes := groupsShapes()
	var outcomes []groupsOutcome
	for i := range shapes {
		weight := shapes[i].downtimeWeight
		own := groupsPolicy{"balanced-own", placement.Balanced{DowntimeWeight: weight}}
		for _, p := range append(groupsPolicies(), own) {
			outcomes = append(outcomes, groupsOutcome{shape: &shapes[i], policy: p})
		}
	}
	err := runGroupsOutcomes(ctx, outcomes, func(o *groupsOutcome) (err error) {
		o.figures, err = simulateGroups(o.shape, o.policy.policy, seed, groupsShapeFaults(o.shape))
		return err
	})
	if err != nil {
		return err
	}
	for i := range outcomes {
		emitGroups(&outcomes[i], emit)
	}
	emitGroupsMix(outcomes, emit)
	return nil
}

func emitGroups(o *groupsOutcome, emit Emit) {
	f, name := &o.figures, groupsCaseName(o.shape)
	emit(o.policy.name, name+"/downtime", f.downtime.Seconds(), "group-s")
	if o.shape.other > 0 {
		emit(o.policy.name, name+"/downtime-needed", f.neededDowntime.Seconds(), "group-s")
	}
	emit(o.policy.name, name+"/stranded", f.stranded.Seconds()*groupsAccelerators, "accelerator-s")
	emit(o.policy.name, name+"/loads", float64(f.loads), "loads")
	emit(o.policy.name, name+"/generations", float64(f.generations), "changes")
	for _, weight := range []float64{0, 0.5, 1} {
		emit(o.policy.name, fmt.Sprintf("%s/cost-%g", name, weight), f.cost(weight, o.shape.size), "group-s")
	}
}

func groupsCaseName(s *groupsShape) string { return fmt.Sprintf("%s-%d-spares", s.name, s.spares) }

// emitGroupsMix emits the sum of the costs of Maracas and Lencana, each with its own
// downtime weight.
func emitGroupsMix(outcomes []groupsOutcome, emit Emit) {
	for _, spares := range []int{0, 2} {
		costs := make(map[string]float64)
		var order []string
		for i := range outcomes {
			o := &outcomes[i]
			if o.shape.spares != spares || o.shape.name == "design" {
				continue
			}
			if _, seen := costs[o.policy.name]; !seen {
				order = append(order, o.policy.name)
			}
			costs[o.policy.name] += o.figures.cost(o.shape.downtimeWeight, o.shape.size)
		}
		for _, name := range order {
			emit(name, fmt.Sprintf("mix-%d-spares/weighted-cost", spares), costs[name], "group-s")
		}
	}
}

// runGroupsWrongList compares the generation changes under the same faults with a
// correct and with a wrong instance list.
func runGroupsWrongList(ctx context.Context, seed uint64, emit Emit) error {
	// Faults at ten times the usual rate make the planner act while the list is
	// wrong.
	busy := groupsRates{lost: 160, restarted: 1200, replaced: 600, paused: 180}
	for _, faults := range []struct {
		name  string
		rates groupsRates
	}{{"no-faults", groupsRates{}}, {"faults", busy}} {
		for _, wrong := range []bool{false, true} {
			shape := groupsShape{name: "list-" + faults.name, domains: 2, groups: 5, size: 4, spares: 2, days: 1.0 / 24}
			name := "right-list-" + faults.name
			if wrong {
				name = "wrong-list-" + faults.name
			}
			var outcomes []groupsOutcome
			for _, p := range groupsPolicies() {
				outcomes = append(outcomes, groupsOutcome{shape: &shape, policy: p})
			}
			err := runGroupsOutcomes(ctx, outcomes, func(o *groupsOutcome) (err error) {
				o.figures, err = simulateGroups(o.shape, o.policy.policy, seed, func(_ int, t *groupsTimeline) {
					t.faults(faults.rates, 0)
					if wrong {
						t.wrongList(10 * time.Minute)
					}
				})
				return err
			})
			if err != nil {
				return err
			}
			for _, o := range outcomes {
				emit(o.policy.name, name+"/generations", float64(o.figures.generations), "changes")
			}
		}
	}
	return nil
}
