package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/placement"
)

const (
	// groupsStep is the time between two passes while anything may change.
	groupsStep = time.Second
	// groupsQuiet is the time without a change after which nothing happens
	// before the next event: above every duration of the planner.
	groupsQuiet = 200 * time.Second
	// groupsBusy is the time after a change with short steps; it is above the
	// longest delay before a repair.
	groupsBusy       = 20 * time.Second
	groupsCoarseStep = 15 * time.Second
	// groupsLoadTime is the time to load weights, groupsRoleTime the time to take
	// a role with weights in memory.
	groupsLoadTime = 45 * time.Second
	groupsRoleTime = 2 * time.Second
	// groupsFormingLimit bounds the time before the count starts.
	groupsFormingLimit = 20 * time.Minute
	// groupsDrainTime is how long the requests of a withdrawn group run.
	groupsDrainTime = 20 * time.Second
	// groupsAccelerators is the number of accelerators of an instance.
	groupsAccelerators = 8
	groupsPool         = "engines"
	groupsVersion      = "1"
)

// groupsEngine is a simulated engine and what the holder knows about it.
type groupsEngine struct {
	entry       fleet.Instance
	listed, up  bool
	replaced    bool
	report      fleet.Report
	readyAt     time.Time
	lostFor     time.Duration
	unfilledFor time.Duration
	generation  fleet.Generation
	unplacedAt  time.Time
	releasedAt  time.Time
}

// groupsFigures are the results of one domain.
type groupsFigures struct {
	downtime, neededDowntime time.Duration
	// stranded is in instance-time.
	stranded    time.Duration
	loads       int
	generations int
}

func (f *groupsFigures) add(o *groupsFigures) {
	f.downtime += o.downtime
	f.neededDowntime += o.neededDowntime
	f.stranded += o.stranded
	f.loads += o.loads
	f.generations += o.generations
}

// cost weighs group downtime against stranded accelerators, both in the unit of
// a group for one second.
func (f *groupsFigures) cost(weight float64, size int) float64 {
	return weight*f.downtime.Seconds() + (1-weight)*f.stranded.Seconds()/float64(size)
}

// groupsWorld is one fabric domain under the real planner.
type groupsWorld struct {
	name     string
	policy   placement.Policy
	groups   []fleet.Group
	services map[string]fleet.Service
	current  fleet.Placement
	phases   map[string]groupsPhase
	engines  map[string]*groupsEngine
	slots    []*groupsEngine
	serial   int
	now      time.Time
	changed  time.Time
	loads    float64
	shards   float64
	figures  groupsFigures
}

// groupsPhase is the time since when a group has its phase.
type groupsPhase struct {
	generation fleet.Generation
	phase      fleet.Phase
	since      time.Time
	// whole tells that the group served when the phase began.
	whole bool
}

func newGroupsWorld(name string, policy placement.Policy, shape *groupsShape) *groupsWorld {
	w := &groupsWorld{name: name, policy: policy, services: shape.services(), phases: make(map[string]groupsPhase),
		engines: make(map[string]*groupsEngine), now: time.Unix(0, 0), shards: float64(shape.domains),
		current: fleet.Placement{FabricDomain: name, NextGeneration: 1}}
	for i := range shape.groups {
		w.groups = append(w.groups, fleet.Group{Name: fmt.Sprintf("g%02d", i), Service: shape.service(i),
			Size: shape.size, FabricDomain: name})
	}
	for range shape.slots() {
		w.slots = append(w.slots, nil)
		w.replace(len(w.slots) - 1)
	}
	return w
}

// replace puts a new idle instance in a slot.
func (w *groupsWorld) replace(slot int) {
	w.serial++
	if old := w.slots[slot]; old != nil {
		old.replaced = true
	}
	id := fmt.Sprintf("i%03d-%d", slot, w.serial)
	e := &groupsEngine{listed: true, up: true, unplacedAt: w.now,
		entry: fleet.Instance{ID: id, Address: id, Pool: groupsPool, FabricDomain: w.name,
			State: fleet.InstanceLive, Accelerators: groupsAccelerators},
		report: fleet.Report{Instance: id, State: fleet.EngineIdle}}
	w.engines[id], w.slots[slot] = e, e
}

func (w *groupsWorld) apply(event groupsEvent) {
	e := w.slots[event.slot]
	switch event.kind {
	case groupsDown:
		e.up = false
	case groupsReturn:
		e.up = true
	case groupsRestart:
		e.up, e.report = true, fleet.Report{Instance: e.entry.ID, State: fleet.EngineIdle}
	case groupsLeave:
		e.entry.State = fleet.InstanceLeaving
	case groupsUnlist:
		e.listed = false
	case groupsList:
		e.listed = true
	case groupsReplace:
		w.replace(event.slot)
	}
	w.changed = w.now
}

// run forms the groups, then lets the events happen and counts until horizon.
func (w *groupsWorld) run(events []groupsEvent, horizon time.Duration) (groupsFigures, error) {
	// The time is bounded, because a policy may leave a group unformed.
	for limit := w.now.Add(groupsFormingLimit); w.now.Before(limit) &&
		(len(w.phases) < len(w.groups) || w.now.Sub(w.changed) < groupsQuiet); {
		if err := w.pass(groupsStep); err != nil {
			return w.figures, err
		}
		w.now = w.now.Add(groupsStep)
	}
	w.figures = groupsFigures{}
	start := w.now
	end := start.Add(horizon)
	for w.now.Before(end) {
		for len(events) > 0 && !start.Add(events[0].at).After(w.now) {
			w.apply(events[0])
			events = events[1:]
		}
		next := end
		if len(events) > 0 {
			next = start.Add(events[0].at)
		}
		step := w.step(min(next.Sub(w.now), end.Sub(w.now)))
		if err := w.pass(step); err != nil {
			return w.figures, err
		}
		w.account(step)
		w.now = w.now.Add(step)
	}
	return w.figures, nil
}

// step returns the time to the next pass: short while the planner's short
// durations run, longer until all of them have passed, then up to the next event.
func (w *groupsWorld) step(next time.Duration) time.Duration {
	quiet := w.now.Sub(w.changed)
	step := next
	if quiet <= groupsQuiet {
		step = min(step, groupsCoarseStep)
	}
	if quiet <= groupsBusy {
		step = groupsStep
	}
	for _, e := range w.engines {
		if e.up && e.report.State == fleet.EngineLoading {
			step = min(step, e.readyAt.Sub(w.now))
		}
	}
	return max(step, groupsStep)
}

// pass does what one pass of the reconciler does: observe, plan, adopt, command.
func (w *groupsWorld) pass(step time.Duration) error {
	w.watch(step)
	result, err := placement.Plan(w.input(), w.policy)
	if err != nil {
		return fmt.Errorf("domain %s at %s: %w", w.name, w.now.UTC().Format(time.TimeOnly), err)
	}
	if result.Changed {
		w.loads -= float64(result.Loads)
		w.adopt(&result.Next)
	}
	w.command()
	return nil
}

func (w *groupsWorld) adopt(next *fleet.Placement) {
	for i := range next.Groups {
		g := &next.Groups[i]
		before := w.phases[g.Name]
		if before.generation != g.Generation {
			w.figures.generations++
		}
		if before.generation != g.Generation || before.phase != g.Phase {
			w.phases[g.Name] = groupsPhase{g.Generation, g.Phase, w.now, w.serves(w.current.Group(g.Name))}
		}
	}
	w.current, w.changed = *next, w.now
	placed := w.members()
	for id, e := range w.engines {
		switch _, in := placed[id]; {
		case in:
			e.unplacedAt = time.Time{}
		case e.unplacedAt.IsZero():
			e.unplacedAt = w.now
		}
	}
}

// groupsRole is the place of an instance in the placement.
type groupsRole struct {
	group *fleet.PlacedGroup
	rank  int
}

func (w *groupsWorld) members() map[string]groupsRole {
	found := make(map[string]groupsRole, len(w.slots))
	for i := range w.current.Groups {
		for rank, m := range w.current.Groups[i].Members {
			found[m.Instance] = groupsRole{&w.current.Groups[i], rank}
		}
	}
	return found
}

// watch advances the engines and the holder's memory of them.
func (w *groupsWorld) watch(step time.Duration) {
	burst := max(1, placement.DefaultLoadBurst/w.shards)
	w.loads = min(burst, w.loads+step.Minutes()*placement.DefaultLoadsPerMinute/w.shards)
	roles := w.members()
	for id, e := range w.engines {
		role, placed := roles[id]
		if e.report.State == fleet.EngineLoading && e.up && !w.now.Before(e.readyAt) {
			e.report.State = fleet.EngineReady
			w.changed = w.now
		}
		e.lostFor += step
		if e.up {
			e.lostFor = 0
		}
		switch {
		case !placed || role.group.Generation != e.generation || (e.up && e.report.Fills(role.group, role.rank)):
			e.unfilledFor = 0
		default:
			e.unfilledFor += step
		}
		e.generation, e.report.Running = 0, 0
		if placed {
			e.generation = role.group.Generation
			e.report.Running = w.running(role.group)
		}
		if !e.up && !e.listed && !placed && e.replaced {
			delete(w.engines, id)
		}
	}
}

func (w *groupsWorld) running(g *fleet.PlacedGroup) int {
	phase := w.phases[g.Name]
	if g.Phase == fleet.PhaseServing || (phase.whole && w.now.Sub(phase.since) < groupsDrainTime && g.Phase == fleet.PhaseWithdrawn) {
		return 1
	}
	return 0
}

func (w *groupsWorld) input() *placement.Input {
	in := &placement.Input{FabricDomain: w.name, Groups: w.groups, Services: w.services, Current: w.current,
		Instances:    make(map[string]placement.InstanceView, len(w.engines)),
		GroupAge:     make(map[fleet.Generation]time.Duration, len(w.phases)),
		LoadsAllowed: int(w.loads), Now: w.now}
	for _, phase := range w.phases {
		in.GroupAge[phase.generation] = w.now.Sub(phase.since)
	}
	for id, e := range w.engines {
		idleAfter := e.unplacedAt.Add(placement.DefaultTimeToLive)
		if e.unplacedAt.IsZero() {
			idleAfter = w.now
		}
		if e.releasedAt.After(idleAfter) {
			idleAfter = e.releasedAt
		}
		in.Instances[id] = placement.InstanceView{Entry: e.entry, Listed: e.listed, Fresh: e.up, Report: e.report,
			ObservedAt: w.now, LostFor: e.lostFor, UnfilledFor: e.unfilledFor, UnplacedAt: e.unplacedAt, IdleAfter: idleAfter}
	}
	return in
}

// command lets every engine that runs obey its role.
func (w *groupsWorld) command() {
	roles := w.members()
	for id, e := range w.engines {
		role, placed := roles[id]
		switch {
		case !e.up:
		case !placed:
			if e.report.Group != "" {
				e.report = fleet.Report{Instance: id, State: fleet.EngineIdle, LoadedVersions: e.report.LoadedVersions}
				e.releasedAt, w.changed = w.now, w.now
			}
		case role.group.Phase != fleet.PhaseWithdrawn && (e.report.Generation != role.group.Generation || e.report.Group != role.group.Name):
			w.assign(e, role)
		}
	}
}

func (w *groupsWorld) assign(e *groupsEngine, role groupsRole) {
	g := role.group
	weights := g.Service + "/" + g.Version
	takes := groupsRoleTime
	if !slices.Contains(e.report.LoadedVersions, weights) {
		w.figures.loads++
		takes = groupsLoadTime
	}
	e.report = fleet.Report{Instance: e.entry.ID, Group: g.Name, Generation: g.Generation, Rank: role.rank,
		Size: len(g.Members), Service: g.Service, Version: g.Version, State: fleet.EngineLoading, LoadedVersions: []string{weights}}
	e.readyAt, w.changed = w.now.Add(takes), w.now
}

// serves tells whether a group takes new work: serving, and every member fills
// its role.
func (w *groupsWorld) serves(g *fleet.PlacedGroup) bool {
	if g == nil || g.Phase != fleet.PhaseServing {
		return false
	}
	for rank, m := range g.Members {
		if e := w.engines[m.Instance]; e == nil || !e.up || !e.report.Fills(g, rank) {
			return false
		}
	}
	return true
}

// account adds the downtime and the stranded instances of one step.
func (w *groupsWorld) account(step time.Duration) {
	short := false
	useful := make(map[string]bool, len(w.slots))
	grouped := make(map[string]bool, len(w.slots))
	for i := range w.groups {
		g := w.current.Group(w.groups[i].Name)
		if g == nil {
			short = true
		} else {
			for _, m := range g.Members {
				e := w.engines[m.Instance]
				short = short || e == nil || !e.up
				grouped[m.Instance] = true
			}
		}
		if w.serves(g) {
			for _, m := range g.Members {
				useful[m.Instance] = true
			}
			continue
		}
		w.figures.downtime += step
		if w.groups[i].Service == groupsNeeded {
			w.figures.neededDowntime += step
		}
	}
	for id, e := range w.engines {
		if e.up && e.entry.State == fleet.InstanceLive && !useful[id] && (short || grouped[id]) {
			w.figures.stranded += step
		}
	}
}
