package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// groupsRackAt is the time at which the rack is lost.
	groupsRackAt = 90 * time.Minute
	// groupsRackOutage is the time until the rack returns.
	groupsRackOutage = 3 * time.Hour
	// groupsRacksPerDomain is the number of equal racks that the instances of a fabric
	// domain are distributed over.
	groupsRacksPerDomain = 3
	// groupsRackDays is the simulated time, in days.
	groupsRackDays = 0.25
)

// rack stops a third of the instances until the rack returns. They restart without
// role and weights. The slots are random, because groups are formed without regard to
// racks.
func (t *groupsTimeline) rack() {
	for _, slot := range t.random.Perm(len(t.busyUntil))[:len(t.busyUntil)/groupsRacksPerDomain] {
		back := groupsRackAt + groupsRackOutage
		t.add(groupsRackAt, groupsDown, slot)
		t.add(groupsRackAt+groupsListLag, groupsUnlist, slot)
		// Instances return one by one within half a minute.
		back += t.between(0, groupsListLag)
		t.add(back, groupsRestart, slot)
		t.add(back+groupsListLag, groupsList, slot)
		t.busyUntil[slot] = back + groupsListLag + time.Minute
	}
}

// simulateRack simulates the one domain that loses a rack, with the daily faults.
func simulateRack(shape *groupsShape, p groupsPolicy, seed uint64) (groupsFigures, error) {
	horizon := time.Duration(groupsRackDays * float64(24*time.Hour))
	t := newGroupsTimeline(rand.New(rand.NewPCG(seed, groupsRandomStream("rack", shape.slots()))), shape.slots(), horizon)
	t.rack()
	t.faults(groupsDailyFaults, groupsRackAt)
	return newGroupsSim("f00", p.policy, shape).run(t.sorted(), horizon)
}

// runGroupsRack compares the policies while a rack of a fabric domain is lost.
func runGroupsRack(ctx context.Context, seed uint64, emit Emit) error {
	var shapes []*groupsShape
	for _, shape := range groupsShapes() {
		if shape.name != "lencana" { // It has the same shape as Maracas.
			shapes = append(shapes, &shape)
		}
	}
	var outcomes []groupsOutcome
	for _, shape := range shapes {
		for _, p := range groupsPolicies() {
			outcomes = append(outcomes, groupsOutcome{shape: shape, policy: p})
		}
	}
	err := runGroupsOutcomes(ctx, outcomes, func(o *groupsOutcome) (err error) {
		o.figures, err = simulateRack(o.shape, o.policy, seed)
		return err
	})
	if err != nil {
		return err
	}
	for i := range outcomes {
		o := &outcomes[i]
		f, name := &o.figures, fmt.Sprintf("rack-%s", groupsCaseName(o.shape))
		emit(o.policy.name, name+"/downtime", f.downtime.Seconds(), "group-s")
		if o.shape.other > 0 {
			emit(o.policy.name, name+"/downtime-needed", f.neededDowntime.Seconds(), "group-s")
		}
		emit(o.policy.name, name+"/stranded", f.stranded.Seconds()*groupsAccelerators, "accelerator-s")
		emit(o.policy.name, name+"/loads", float64(f.loads), "loads")
		emit(o.policy.name, name+"/generations", float64(f.generations), "changes")
	}
	return nil
}
