package measure

import (
	"context"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// groupsBestCases is the number of random small cases.
	groupsBestCases   = 60
	groupsBestHorizon = 5 * time.Minute
)

// groupsBestCase is the failure of some of 8 instances at one moment: 2 groups of
// 3 on the slots 0 to 5, 2 spares. back is zero for an instance that does not
// fail, and beyond the horizon for one that stays away.
type groupsBestCase struct {
	back [8]time.Duration
	// fresh tells that the instance comes back without weights.
	fresh [8]bool
}

func (c *groupsBestCase) events() []groupsEvent {
	var t groupsTimeline
	for slot, back := range c.back {
		if back == 0 {
			continue
		}
		t.add(0, groupsDown, slot)
		kind := groupsReturn
		if c.fresh[slot] {
			kind = groupsRestart
		}
		t.add(back, kind, slot)
	}
	return t.sorted()
}

func drawGroupsBest(random *rand.Rand) groupsBestCase {
	t := groupsTimeline{random: random}
	var c groupsBestCase
	for _, slot := range random.Perm(8)[:1+random.IntN(3)] {
		switch random.IntN(3) {
		case 0:
			c.back[slot] = t.between(groupsPauseMin, groupsPauseMax)
		case 1:
			c.back[slot], c.fresh[slot] = t.between(groupsRestartMin, groupsRestartMax), true
		default:
			c.back[slot], c.fresh[slot] = 2*groupsBestHorizon, true
		}
	}
	return c
}

// bound returns the least cost of any assignment of the instances to the groups
// that is chosen at the moment of the failure with knowledge of all returns, and
// without time to notice, to release or to take a role with weights in memory.
// owner tells which group each slot was in, from 1.
func (c *groupsBestCase) bound(owner [8]int, weight float64) float64 {
	best := math.Inf(1)
	var assigned [8]int
	var count [3]int
	var assign func(slot int)
	assign = func(slot int) {
		if slot == len(assigned) {
			// A group of fewer than three does not serve; that is allowed.
			best = min(best, c.cost(assigned, owner, count, weight))
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

func (c *groupsBestCase) cost(assigned, owner [8]int, count [3]int, weight float64) float64 {
	var ready [3]time.Duration
	for group := 1; group < 3; group++ {
		if count[group] < 3 {
			ready[group] = groupsBestHorizon
		}
	}
	for slot, group := range assigned {
		if group == 0 {
			continue
		}
		at := c.back[slot]
		if c.fresh[slot] || owner[slot] == 0 {
			at += groupsLoadTime
		}
		ready[group] = max(ready[group], min(at, groupsBestHorizon))
	}
	var f groupsFigures
	f.downtime = ready[1] + ready[2]
	for slot, group := range assigned {
		if group == 0 {
			// An idle instance is stranded only while a group lacks members.
			f.stranded += max(0, min(c.shortUntil(assigned, count), groupsBestHorizon)-c.back[slot])
			continue
		}
		f.stranded += max(0, ready[group]-c.back[slot])
	}
	return f.cost(weight, 3)
}

// shortUntil is the time until which a group has members that are away.
func (c *groupsBestCase) shortUntil(assigned [8]int, count [3]int) time.Duration {
	until := time.Duration(0)
	for slot, group := range assigned {
		if group > 0 {
			until = max(until, c.back[slot])
		}
	}
	if count[1] < 3 || count[2] < 3 {
		until = groupsBestHorizon
	}
	return until
}

// runGroupsBest compares each policy's cost with the bound on small cases.
func runGroupsBest(ctx context.Context, seed uint64, emit Emit) error {
	const weight = 0.5
	shape := groupsShape{name: "small", domains: 1, groups: 2, size: 3, spares: 2}
	random := rand.New(rand.NewPCG(seed, groupsStream(shape.name, 0)))
	cases := make([]groupsBestCase, groupsBestCases)
	for i := range cases {
		cases[i] = drawGroupsBest(random)
	}
	for _, p := range groupsPolicies() {
		sum, worst, counted, costs, bounds := 0.0, 0.0, 0, 0.0, 0.0
		for i := range cases {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			w := newGroupsWorld("f", p.policy, &shape)
			figures, err := w.run(nil, 0)
			if err != nil {
				return err
			}
			bound := cases[i].bound(w.owners(), weight)
			if figures, err = w.run(cases[i].events(), groupsBestHorizon); err != nil {
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

// owners returns the group of each slot, from 1; 0 for a spare.
func (w *groupsWorld) owners() (owner [8]int) {
	roles := w.members()
	for slot, e := range w.slots {
		if role, placed := roles[e.entry.ID]; placed {
			for i := range w.groups {
				if w.groups[i].Name == role.group.Name {
					owner[slot] = i + 1
				}
			}
		}
	}
	return owner
}
