package measure

import (
	"context"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// groupsBoundCases is the number of random small cases.
	groupsBoundCases = 60
	// groupsBoundHorizon is the time after the failure for which costs are counted.
	groupsBoundHorizon = 5 * time.Minute
)

// groupsBoundCase is the simultaneous failure of some of 8 instances: 2 groups of 3
// on the slots 0 to 5, and 2 spares.
type groupsBoundCase struct {
	// returnAt is the time from the failure to the return of the instance in each
	// slot. It is zero for an instance that does not fail and beyond the horizon for
	// one that does not return.
	returnAt [8]time.Duration
	// withoutWeights is true if the instance returns without weights in memory.
	withoutWeights [8]bool
}

func (c *groupsBoundCase) events() []groupsEvent {
	var t groupsTimeline
	for slot, back := range c.returnAt {
		if back == 0 {
			continue
		}
		t.add(0, groupsDown, slot)
		kind := groupsReturn
		if c.withoutWeights[slot] {
			kind = groupsRestart
		}
		t.add(back, kind, slot)
	}
	return t.sorted()
}

// drawGroupsBoundCase returns a random case in which 1 to 3 instances fail.
func drawGroupsBoundCase(random *rand.Rand) groupsBoundCase {
	t := groupsTimeline{random: random}
	var c groupsBoundCase
	for _, slot := range random.Perm(8)[:1+random.IntN(3)] {
		switch random.IntN(3) {
		case 0:
			c.returnAt[slot] = t.between(groupsPauseMin, groupsPauseMax)
		case 1:
			c.returnAt[slot], c.withoutWeights[slot] = t.between(groupsRestartMin, groupsRestartMax), true
		default:
			c.returnAt[slot], c.withoutWeights[slot] = 2*groupsBoundHorizon, true
		}
	}
	return c
}

// bound returns the lowest cost of any assignment of the instances to the groups that
// is made at the moment of the failure with knowledge of all returns. To detect the
// failure, to release an instance and to take a role with weights in memory take no
// time here. owners holds the group of each slot before the failure, from 1; 0 for a
// spare.
func (c *groupsBoundCase) bound(owners [8]int, weight float64) float64 {
	best := math.Inf(1)
	var assigned [8]int
	var count [3]int
	var assign func(slot int)
	assign = func(slot int) {
		if slot == len(assigned) {
			// A group of fewer than three does not serve; that is allowed.
			best = min(best, c.cost(assigned, owners, count, weight))
			return
		}
		for group := range 3 {
			if group > 0 && count[group] == 3 {
				continue
			}
			assigned[slot] = group
			count[group]++
			assign(slot + 1)
			count[group]--
		}
	}
	assign(0)
	return best
}

// cost returns the cost of one assignment. count is the number of instances that it
// assigns to each group, from 1.
func (c *groupsBoundCase) cost(assigned, owners [8]int, count [3]int, weight float64) float64 {
	var ready [3]time.Duration
	for group := 1; group < 3; group++ {
		if count[group] < 3 {
			ready[group] = groupsBoundHorizon
		}
	}
	for slot, group := range assigned {
		if group == 0 {
			continue
		}
		at := c.returnAt[slot]
		if c.withoutWeights[slot] || owners[slot] == 0 {
			at += groupsLoadTime
		}
		ready[group] = max(ready[group], min(at, groupsBoundHorizon))
	}
	var f groupsFigures
	f.downtime = ready[1] + ready[2]
	for slot, group := range assigned {
		if group == 0 {
			// An idle instance is stranded only while a group lacks members.
			f.stranded += max(0, min(c.missingUntil(assigned, count), groupsBoundHorizon)-c.returnAt[slot])
			continue
		}
		f.stranded += max(0, ready[group]-c.returnAt[slot])
	}
	return f.cost(weight, 3)
}

// missingUntil returns the time until which a group lacks members.
func (c *groupsBoundCase) missingUntil(assigned [8]int, count [3]int) time.Duration {
	until := time.Duration(0)
	for slot, group := range assigned {
		if group > 0 {
			until = max(until, c.returnAt[slot])
		}
	}
	if count[1] < 3 || count[2] < 3 {
		until = groupsBoundHorizon
	}
	return until
}

// runGroupsBound compares each policy's cost with the bound on small cases.
func runGroupsBound(ctx context.Context, seed uint64, emit Emit) error {
	const weight = 0.5
	shape := groupsShape{name: "small", domains: 1, groups: 2, size: 3, spares: 2}
	random := rand.New(rand.NewPCG(seed, groupsRandomStream(shape.name, 0)))
	cases := make([]groupsBoundCase, groupsBoundCases)
	for i := range cases {
		cases[i] = drawGroupsBoundCase(random)
	}
	for _, p := range groupsPolicies() {
		sum, worst, counted, costs, bounds := 0.0, 0.0, 0, 0.0, 0.0
		for i := range cases {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			s := newGroupsSim("f", p.policy, &shape)
			figures, err := s.run(nil, 0)
			if err != nil {
				return err
			}
			bound := cases[i].bound(s.owners(), weight)
			if figures, err = s.run(cases[i].events(), groupsBoundHorizon); err != nil {
				return err
			}
			if bound == 0 {
				continue
			}
			ratio := figures.cost(weight, shape.size) / bound
			counted++
			sum, worst = sum+ratio, max(worst, ratio)
			costs, bounds = costs+figures.cost(weight, shape.size), bounds+bound
		}
		emit(p.name, "small/ratio-mean", sum/float64(counted), "ratio")
		emit(p.name, "small/ratio-worst", worst, "ratio")
		emit(p.name, "small/ratio-of-sums", costs/bounds, "ratio")
	}
	return nil
}

// owners returns the group of the instance in each slot, from 1; 0 for a spare.
func (s *groupsSim) owners() (owners [8]int) {
	roles := s.members()
	for slot, e := range s.slots {
		if role, placed := roles[e.entry.ID]; placed {
			for i := range s.groups {
				if s.groups[i].Name == role.group.Name {
					owners[slot] = i + 1
				}
			}
		}
	}
	return owners
}
