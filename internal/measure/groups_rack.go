package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// groupsRackAt is when the rack is lost, groupsRackFor how long it stays away.
	groupsRackAt  = 90 * time.Minute
	groupsRackFor = 3 * time.Hour
	// groupsRackPart is the part of the instances of a fabric domain on a rack.
	groupsRackPart = 3
	groupsRackDays = 0.25
)

// rack stops a third of the instances until the rack is back. They return with
// neither role nor weights. The slots are random, because groups are formed
// without regard to racks.
func (t *groupsTimeline) rack() {
	for _, slot := range t.random.Perm(len(t.busyUntil))[:len(t.busyUntil)/groupsRackPart] {
		back := groupsRackAt + groupsRackFor
		t.add(groupsRackAt, groupsDown, slot)
		t.add(groupsRackAt+groupsListLag, groupsUnlist, slot)
		// Instances come back one by one within half a minute.
		back += t.between(0, groupsListLag)
		t.add(back, groupsRestart, slot)
		t.add(back+groupsListLag, groupsList, slot)
		t.busyUntil[slot] = back + groupsListLag + time.Minute
	}
}

// simulateRack runs the one domain that loses a rack, with the usual faults.
func simulateRack(shape *groupsShape, p groupsPolicy, seed uint64) (groupsFigures, error) {
	horizon := time.Duration(groupsRackDays * float64(24*time.Hour))
	t := newGroupsTimeline(rand.New(rand.NewPCG(seed, groupsStream("rack", shape.slots()))), shape.slots(), horizon)
	t.rack()
	t.faults(groupsDay, groupsRackAt)
	return newGroupsWorld("f00", p.policy, shape).run(t.sorted(), horizon)
}

// runGroupsRack compares the policies while a rack of a fabric domain is lost.
func runGroupsRack(ctx context.Context, seed uint64, emit Emit) error {
	var shapes []*groupsShape
	for _, shape := range groupsShapes() {
		if shape.name != "lencana" { // It is shaped like Maracas.
			shapes = append(shapes, &shape)
		}
	}
	var outcomes []groupsOutcome
	for _, shape := range shapes {
		for _, p := range groupsPolicies() {
			outcomes = append(outcomes, groupsOutcome{shape: shape, policy: p})
		}
	}
	err := groupsAll(ctx, outcomes, func(o *groupsOutcome) (err error) {
		o.figures, err = simulateRack(o.shape, o.policy, seed)
		return err
	})
	if err != nil {
		return err
	}
	for i := range outcomes {
		o := &outcomes[i]
		f, name := &o.figures, fmt.Sprintf("rack-%s", groupsCase(o.shape))
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
