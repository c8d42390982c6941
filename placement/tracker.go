package placement

import (
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// maxElapsed limits the time without evidence that one pass adds. After a pause
// of the process all evidence has expired, and the pause must not count as time
// without evidence.
const maxElapsed = time.Second

// instanceTracker records what this holder has observed of the instances and
// groups of one domain.
type instanceTracker struct {
	updatedAt time.Time
	instances map[string]*trackedInstance
	groups    map[fleet.Generation]phaseStart
}

// phaseStart is a phase and the time at which this holder first saw it.
type phaseStart struct {
	phase fleet.Phase
	since time.Time
}

// trackedInstance is the observed state of one instance. The fields that
// InstanceView has too are described there.
type trackedInstance struct {
	entry       fleet.Instance
	listed      bool
	observation blackboard.Observation
	fresh       bool
	lostFor     time.Duration
	unfilledFor time.Duration
	// generation is the one for which unfilledFor is counted; 0 if not placed.
	generation fleet.Generation
	unplacedAt time.Time
}

func newInstanceTracker() *instanceTracker {
	return &instanceTracker{instances: make(map[string]*trackedInstance), groups: make(map[fleet.Generation]phaseStart)}
}

// applyPlacement records when instances left their groups and when phases
// changed.
func (t *instanceTracker) applyPlacement(p *fleet.Placement, now time.Time) {
	placed := make(map[string]bool)
	groups := make(map[fleet.Generation]phaseStart, len(p.Groups))
	for i := range p.Groups {
		g := &p.Groups[i]
		start, ok := t.groups[g.Generation]
		if !ok || start.phase != g.Phase {
			start = phaseStart{phase: g.Phase, since: now}
		}
		groups[g.Generation] = start
		for _, m := range g.Members {
			placed[m.Instance] = true
			tracked := t.instance(m.Instance, now)
			if tracked.entry.Address == "" {
				tracked.entry = fleet.Instance{ID: m.Instance, Address: m.Address, FabricDomain: p.FabricDomain}
			}
			tracked.unplacedAt = time.Time{}
		}
	}
	t.groups = groups
	for id, tracked := range t.instances {
		if !placed[id] && tracked.unplacedAt.IsZero() {
			tracked.unplacedAt = now
		}
	}
}

// resetUnplacedTimes makes the next applyPlacement restart the time for which
// instances have been in no group.
func (t *instanceTracker) resetUnplacedTimes() {
	for _, tracked := range t.instances {
		tracked.unplacedAt = time.Time{}
	}
}

// instance returns the tracked state of an instance. It adds a new instance as
// one that is in no group since now.
func (t *instanceTracker) instance(id string, now time.Time) *trackedInstance {
	tracked := t.instances[id]
	if tracked == nil {
		tracked = &trackedInstance{entry: fleet.Instance{ID: id}, unplacedAt: now}
		t.instances[id] = tracked
	}
	return tracked
}

// update reads the instance list and the evidence from the blackboard.
func (t *instanceTracker) update(d *domain, now time.Time) {
	elapsed := time.Duration(0)
	if !t.updatedAt.IsZero() {
		elapsed = min(now.Sub(t.updatedAt), maxElapsed)
	}
	t.updatedAt = now
	for _, tracked := range t.instances {
		tracked.listed = false
	}
	if list := d.r.board.Instances.Load(); list != nil {
		for _, entry := range list.Instances {
			if entry.FabricDomain != d.name && t.instances[entry.ID] == nil {
				continue
			}
			tracked := t.instance(entry.ID, now)
			tracked.entry, tracked.listed = entry, true
		}
	}
	roles := roles(&d.current)
	evidence := d.r.board.Evidence.Load()
	for id, tracked := range t.instances {
		tracked.updateEvidence(id, evidence, now, elapsed, d.r.cfg.TimeToLive)
		tracked.updateUnfilled(roles[id], elapsed)
		if !tracked.listed && tracked.lostFor > d.r.cfg.Limits.DrainAllowance && !roles[id].placed {
			delete(t.instances, id)
		}
	}
}

// updateEvidence sets the newest observation if it is within its time-to-live,
// else it adds to the time without evidence.
func (t *trackedInstance) updateEvidence(id string, evidence *blackboard.Evidence, now time.Time, elapsed, ttl time.Duration) {
	t.fresh = false
	if evidence != nil {
		if o, ok := evidence.ByInstance[id]; ok && now.Sub(o.ObservedAt) < ttl {
			t.observation, t.fresh, t.lostFor = o, true, 0
		}
	}
	if !t.fresh {
		t.lostFor += elapsed
	}
}

// updateUnfilled counts how long a member has not been ready in its role.
func (t *trackedInstance) updateUnfilled(role role, elapsed time.Duration) {
	switch {
	case !role.placed || role.group.Generation != t.generation:
		t.unfilledFor = 0
	case t.fresh && t.observation.Report.Fills(role.group, role.rank):
		t.unfilledFor = 0
	default:
		t.unfilledFor += elapsed
	}
	t.generation = 0
	if role.placed {
		t.generation = role.group.Generation
	}
}

// role is the group and rank of an instance in a placement.
type role struct {
	placed bool
	group  *fleet.PlacedGroup
	rank   int
}

// roles maps the members of a placement to their roles.
func roles(p *fleet.Placement) map[string]role {
	found := make(map[string]role)
	for i := range p.Groups {
		for rank, m := range p.Groups[i].Members {
			found[m.Instance] = role{placed: true, group: &p.Groups[i], rank: rank}
		}
	}
	return found
}

// views returns the planner's view of the instances.
func (t *instanceTracker) views(d *domain, now time.Time) map[string]InstanceView {
	views := make(map[string]InstanceView, len(t.instances))
	for id, tracked := range t.instances {
		view := InstanceView{Entry: tracked.entry, Listed: tracked.listed, Fresh: tracked.fresh,
			Report: tracked.observation.Report, ObservedAt: tracked.observation.ObservedAt,
			LostFor: tracked.lostFor, UnfilledFor: tracked.unfilledFor, UnplacedAt: tracked.unplacedAt}
		view.IdleAfter = tracked.unplacedAt.Add(d.r.cfg.TimeToLive)
		if tracked.unplacedAt.IsZero() {
			view.IdleAfter = now
		}
		if at := d.released[id]; at.After(view.IdleAfter) {
			view.IdleAfter = at
		}
		views[id] = view
	}
	return views
}

// phaseAges returns how long each generation has been in its current phase.
func (t *instanceTracker) phaseAges(now time.Time) map[fleet.Generation]time.Duration {
	ages := make(map[fleet.Generation]time.Duration, len(t.groups))
	for generation, start := range t.groups {
		ages[generation] = now.Sub(start.since)
	}
	return ages
}
