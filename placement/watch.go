package placement

import (
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// maxStep bounds the silence that one pass adds. After a pause of the process
// all evidence is expired, and the pause must not count as silence.
const maxStep = time.Second

// watch remembers what this holder has seen of the instances of its domain.
type watch struct {
	at        time.Time
	instances map[string]*watched
	groups    map[fleet.Generation]groupSince
}

// groupSince is the time since when a generation has its phase.
type groupSince struct {
	phase fleet.Phase
	since time.Time
}

// watched is the memory of one instance.
type watched struct {
	entry       fleet.Instance
	listed      bool
	observation blackboard.Observation
	fresh       bool
	lostFor     time.Duration
	unfilledFor time.Duration
	generation  fleet.Generation
	unplacedAt  time.Time
}

func newWatch() *watch {
	return &watch{instances: make(map[string]*watched), groups: make(map[fleet.Generation]groupSince)}
}

// adopt notes when instances left their group and when phases changed.
func (w *watch) adopt(p *fleet.Placement, now time.Time) {
	placed := make(map[string]bool)
	groups := make(map[fleet.Generation]groupSince, len(p.Groups))
	for i := range p.Groups {
		g := &p.Groups[i]
		since, ok := w.groups[g.Generation]
		if !ok || since.phase != g.Phase {
			since = groupSince{phase: g.Phase, since: now}
		}
		groups[g.Generation] = since
		for _, m := range g.Members {
			placed[m.Instance] = true
			entry := w.instance(m.Instance, now)
			if entry.entry.Address == "" {
				entry.entry = fleet.Instance{ID: m.Instance, Address: m.Address, FabricDomain: p.FabricDomain}
			}
			entry.unplacedAt = time.Time{}
		}
	}
	w.groups = groups
	for id, entry := range w.instances {
		if !placed[id] && entry.unplacedAt.IsZero() {
			entry.unplacedAt = now
		}
	}
}

// forgetUnplaced makes the next adopt count the time out of any group anew.
func (w *watch) forgetUnplaced() {
	for _, entry := range w.instances {
		entry.unplacedAt = time.Time{}
	}
}

// instance returns the memory of an instance. A new one counts as out of any
// group since now at the latest.
func (w *watch) instance(id string, now time.Time) *watched {
	entry := w.instances[id]
	if entry == nil {
		entry = &watched{entry: fleet.Instance{ID: id}, unplacedAt: now}
		w.instances[id] = entry
	}
	return entry
}

// update takes over the instance list and the evidence.
func (w *watch) update(d *domain, now time.Time) {
	step := time.Duration(0)
	if !w.at.IsZero() {
		step = min(now.Sub(w.at), maxStep)
	}
	w.at = now
	for _, entry := range w.instances {
		entry.listed = false
	}
	if list := d.r.board.Instances.Load(); list != nil {
		for _, e := range list.Instances {
			if e.FabricDomain != d.name && w.instances[e.ID] == nil {
				continue
			}
			entry := w.instance(e.ID, now)
			entry.entry, entry.listed = e, true
		}
	}
	roles := roles(&d.current)
	evidence := d.r.board.Evidence.Load()
	for id, entry := range w.instances {
		entry.observe(id, evidence, now, step, d.r.cfg.TimeToLive)
		entry.fill(roles[id], step)
		if !entry.listed && entry.lostFor > d.r.cfg.Limits.DrainAllowance && !roles[id].placed {
			delete(w.instances, id)
		}
	}
}

func (e *watched) observe(id string, evidence *blackboard.Evidence, now time.Time, step, ttl time.Duration) {
	e.fresh = false
	if evidence != nil {
		if o, ok := evidence.ByInstance[id]; ok && now.Sub(o.ObservedAt) < ttl {
			e.observation, e.fresh, e.lostFor = o, true, 0
		}
	}
	if !e.fresh {
		e.lostFor += step
	}
}

// fill counts how long a member has not filled its role.
func (e *watched) fill(role role, step time.Duration) {
	switch {
	case !role.placed || role.group.Generation != e.generation:
		e.unfilledFor = 0
	case e.fresh && e.observation.Report.Fills(role.group, role.rank):
		e.unfilledFor = 0
	default:
		e.unfilledFor += step
	}
	e.generation = 0
	if role.placed {
		e.generation = role.group.Generation
	}
}

// role is the place of an instance in a placement.
type role struct {
	placed bool
	group  *fleet.PlacedGroup
	rank   int
}

// roles maps the members of a placement to their role.
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
func (w *watch) views(d *domain, now time.Time) map[string]InstanceView {
	views := make(map[string]InstanceView, len(w.instances))
	for id, e := range w.instances {
		view := InstanceView{Entry: e.entry, Listed: e.listed, Fresh: e.fresh,
			Report: e.observation.Report, ObservedAt: e.observation.ObservedAt,
			LostFor: e.lostFor, UnfilledFor: e.unfilledFor, UnplacedAt: e.unplacedAt}
		view.IdleAfter = e.unplacedAt.Add(d.r.cfg.TimeToLive)
		if e.unplacedAt.IsZero() {
			view.IdleAfter = now
		}
		if at := d.released[id]; at.After(view.IdleAfter) {
			view.IdleAfter = at
		}
		views[id] = view
	}
	return views
}

// ages returns how long each generation has had its phase.
func (w *watch) ages(now time.Time) map[fleet.Generation]time.Duration {
	ages := make(map[fleet.Generation]time.Duration, len(w.groups))
	for generation, since := range w.groups {
		ages[generation] = now.Sub(since.since)
	}
	return ages
}
