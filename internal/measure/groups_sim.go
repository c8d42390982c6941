package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/placement"
)

const (
	// groupsStep is the time between two reconciler passes while anything may change.
	groupsStep = time.Second
	// groupsSettleTime is the time without a change after which nothing happens until
	// the next event. It exceeds every duration of the planner.
	groupsSettleTime = 200 * time.Second
	// groupsFineStepTime is the time after a change during which steps are short. It
	// exceeds the longest delay before a repair.
	groupsFineStepTime = 20 * time.Second
	groupsCoarseStep   = 15 * time.Second
	// groupsLoadTime is the time to load weights.
	groupsLoadTime = 45 * time.Second
	// groupsRoleTime is the time to take a role with weights in memory.
	groupsRoleTime = 2 * time.Second
	// groupsFormingLimit limits the time to form the groups before figures are counted.
	groupsFormingLimit = 20 * time.Minute
	// groupsDrainTime is the time for which requests of a withdrawn group still run.
	groupsDrainTime = 20 * time.Second
	// groupsAccelerators is the number of accelerators of an instance.
	groupsAccelerators = 8
	groupsPool         = "engines"
	groupsVersion      = "1"
)

// groupsEngine is a simulated engine with the lease holder's observations of it.
type groupsEngine struct {
	entry       fleet.Instance
	listed, up  bool
	replaced    bool
	report      fleet.Report
	readyAt     time.Time
	lostFor     time.Duration // since it was last up
	unfilledFor time.Duration // since its report last matched its role
	generation  fleet.Generation
	unplacedAt  time.Time
	releasedAt  time.Time
}

// groupsFigures are the results of one domain.
type groupsFigures struct {
	downtime, neededDowntime time.Duration
	// stranded is the sum of the stranded times of all instances.
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

// cost returns the weighted sum of group downtime and stranded accelerators, both in
// group-seconds.
func (f *groupsFigures) cost(weight float64, size int) float64 {
	return weight*f.downtime.Seconds() + (1-weight)*f.stranded.Seconds()/float64(size)
}

// groupsSim simulates one fabric domain under the real planner.
type groupsSim struct {
	name       string
	policy     placement.Policy
	groups     []fleet.Group
	services   map[string]fleet.Service
	current    fleet.Placement
	phases     map[string]groupsPhase
	engines    map[string]*groupsEngine
	slots      []*groupsEngine
	serial     int // of the newest instance
	now        time.Time
	changedAt  time.Time
	loadTokens float64 // weight loads that may start now (token bucket)
	shards     float64 // fabric domains that share the rate of loads
	figures    groupsFigures
}

// groupsPhase is the phase of a group and the time at which it began.
type groupsPhase struct {
	generation fleet.Generation
	phase      fleet.Phase
	since      time.Time
	// wasServing is true if the group served when the phase began.
	wasServing bool
}

func newGroupsSim(name string, policy placement.Policy, shape *groupsShape) *groupsSim {
	s := &groupsSim{name: name, policy: policy, services: shape.services(), phases: make(map[string]groupsPhase),
		engines: make(map[string]*groupsEngine), now: time.Unix(0, 0), shards: float64(shape.domains),
		current: fleet.Placement{FabricDomain: name, NextGeneration: 1}}
	for i := range shape.groups {
		s.groups = append(s.groups, fleet.Group{Name: fmt.Sprintf("g%02d", i), Service: shape.service(i),
			Size: shape.size, FabricDomain: name})
	}
	for range shape.slots() {
		s.slots = append(s.slots, nil)
		s.replace(len(s.slots) - 1)
	}
	return s
}

// replace puts a new idle instance in a slot.
func (s *groupsSim) replace(slot int) {
	s.serial++
	if old := s.slots[slot]; old != nil {
		old.replaced = true
	}
	id := fmt.Sprintf("i%03d-%d", slot, s.serial)
	e := &groupsEngine{listed: true, up: true, unplacedAt: s.now,
		entry: fleet.Instance{ID: id, Address: id, Pool: groupsPool, FabricDomain: s.name,
			State: fleet.InstanceLive, Accelerators: groupsAccelerators},
		report: fleet.Report{Instance: id, State: fleet.EngineIdle}}
	s.engines[id], s.slots[slot] = e, e
}

func (s *groupsSim) apply(event groupsEvent) {
	e := s.slots[event.slot]
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
		s.replace(event.slot)
	}
	s.changedAt = s.now
}

// run forms the groups, then applies the events and counts figures until horizon.
func (s *groupsSim) run(events []groupsEvent, horizon time.Duration) (groupsFigures, error) {
	// The time is limited, because a policy may leave a group unformed.
	for limit := s.now.Add(groupsFormingLimit); s.now.Before(limit) &&
		(len(s.phases) < len(s.groups) || s.now.Sub(s.changedAt) < groupsSettleTime); {
		if err := s.reconcile(groupsStep); err != nil {
			return s.figures, err
		}
		s.now = s.now.Add(groupsStep)
	}
	s.figures = groupsFigures{}
	start := s.now
	end := start.Add(horizon)
	for s.now.Before(end) {
		for len(events) > 0 && !start.Add(events[0].at).After(s.now) {
			s.apply(events[0])
			events = events[1:]
		}
		next := end
		if len(events) > 0 {
			next = start.Add(events[0].at)
		}
		step := s.nextStep(min(next.Sub(s.now), end.Sub(s.now)))
		if err := s.reconcile(step); err != nil {
			return s.figures, err
		}
		s.account(step)
		s.now = s.now.Add(step)
	}
	return s.figures, nil
}

// nextStep returns the time to the next pass: short while the planner's short
// durations run, longer until all of them have passed, then up to the next event.
func (s *groupsSim) nextStep(next time.Duration) time.Duration {
	quiet := s.now.Sub(s.changedAt)
	step := next
	if quiet <= groupsSettleTime {
		step = min(step, groupsCoarseStep)
	}
	if quiet <= groupsFineStepTime {
		step = groupsStep
	}
	for _, e := range s.engines {
		if e.up && e.report.State == fleet.EngineLoading {
			step = min(step, e.readyAt.Sub(s.now))
		}
	}
	return max(step, groupsStep)
}

// reconcile runs one reconciler pass: observe, plan, adopt the plan, send commands.
func (s *groupsSim) reconcile(step time.Duration) error {
	s.advance(step)
	result, err := placement.Plan(s.input(), s.policy)
	if err != nil {
		return fmt.Errorf("plan of fabric domain %s at simulated time %s: %w", s.name, s.now.UTC().Format(time.TimeOnly), err)
	}
	if result.Changed {
		s.loadTokens -= float64(result.Loads)
		s.adopt(&result.Next)
	}
	s.commandEngines()
	return nil
}

func (s *groupsSim) adopt(next *fleet.Placement) {
	for i := range next.Groups {
		g := &next.Groups[i]
		before := s.phases[g.Name]
		if before.generation != g.Generation {
			s.figures.generations++
		}
		if before.generation != g.Generation || before.phase != g.Phase {
			s.phases[g.Name] = groupsPhase{g.Generation, g.Phase, s.now, s.serves(s.current.Group(g.Name))}
		}
	}
	s.current, s.changedAt = *next, s.now
	placed := s.members()
	for id, e := range s.engines {
		switch _, in := placed[id]; {
		case in:
			e.unplacedAt = time.Time{}
		case e.unplacedAt.IsZero():
			e.unplacedAt = s.now
		}
	}
}

// groupsRole is the group and rank of an instance in the placement.
type groupsRole struct {
	group *fleet.PlacedGroup
	rank  int
}

func (s *groupsSim) members() map[string]groupsRole {
	found := make(map[string]groupsRole, len(s.slots))
	for i := range s.current.Groups {
		for rank, m := range s.current.Groups[i].Members {
			found[m.Instance] = groupsRole{&s.current.Groups[i], rank}
		}
	}
	return found
}

// advance advances the engines and the lease holder's observations by one step.
func (s *groupsSim) advance(step time.Duration) {
	loadBurst := max(1, placement.DefaultLoadBurst/s.shards)
	s.loadTokens = min(loadBurst, s.loadTokens+step.Minutes()*placement.DefaultLoadsPerMinute/s.shards)
	roles := s.members()
	for id, e := range s.engines {
		role, placed := roles[id]
		if e.report.State == fleet.EngineLoading && e.up && !s.now.Before(e.readyAt) {
			e.report.State = fleet.EngineReady
			s.changedAt = s.now
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
			e.report.Running = s.running(role.group)
		}
		if !e.up && !e.listed && !placed && e.replaced {
			delete(s.engines, id)
		}
	}
}

func (s *groupsSim) running(g *fleet.PlacedGroup) int {
	phase := s.phases[g.Name]
	if g.Phase == fleet.PhaseServing || (phase.wasServing && s.now.Sub(phase.since) < groupsDrainTime && g.Phase == fleet.PhaseWithdrawn) {
		return 1
	}
	return 0
}

func (s *groupsSim) input() *placement.Input {
	in := &placement.Input{FabricDomain: s.name, Groups: s.groups, Services: s.services, Current: s.current,
		Instances:    make(map[string]placement.InstanceView, len(s.engines)),
		GroupAge:     make(map[fleet.Generation]time.Duration, len(s.phases)),
		LoadsAllowed: int(s.loadTokens), Now: s.now}
	for _, phase := range s.phases {
		in.GroupAge[phase.generation] = s.now.Sub(phase.since)
	}
	for id, e := range s.engines {
		idleAfter := e.unplacedAt.Add(placement.DefaultTimeToLive)
		if e.unplacedAt.IsZero() {
			idleAfter = s.now
		}
		if e.releasedAt.After(idleAfter) {
			idleAfter = e.releasedAt
		}
		in.Instances[id] = placement.InstanceView{Entry: e.entry, Listed: e.listed, Fresh: e.up, Report: e.report,
			ObservedAt: s.now, LostFor: e.lostFor, UnfilledFor: e.unfilledFor, UnplacedAt: e.unplacedAt, IdleAfter: idleAfter}
	}
	return in
}

// commandEngines applies the roles of the placement to every running engine.
func (s *groupsSim) commandEngines() {
	roles := s.members()
	for id, e := range s.engines {
		role, placed := roles[id]
		switch {
		case !e.up:
		case !placed:
			if e.report.Group != "" {
				e.report = fleet.Report{Instance: id, State: fleet.EngineIdle, LoadedVersions: e.report.LoadedVersions}
				e.releasedAt, s.changedAt = s.now, s.now
			}
		case role.group.Phase != fleet.PhaseWithdrawn && (e.report.Generation != role.group.Generation || e.report.Group != role.group.Name):
			s.assign(e, role)
		}
	}
}

func (s *groupsSim) assign(e *groupsEngine, role groupsRole) {
	g := role.group
	weights := g.Service + "/" + g.Version
	takes := groupsRoleTime
	if !slices.Contains(e.report.LoadedVersions, weights) {
		s.figures.loads++
		takes = groupsLoadTime
	}
	e.report = fleet.Report{Instance: e.entry.ID, Group: g.Name, Generation: g.Generation, Rank: role.rank,
		Size: len(g.Members), Service: g.Service, Version: g.Version, State: fleet.EngineLoading, LoadedVersions: []string{weights}}
	e.readyAt, s.changedAt = s.now.Add(takes), s.now
}

// serves reports whether a group accepts new requests: its phase is serving and every
// member fills its role.
func (s *groupsSim) serves(g *fleet.PlacedGroup) bool {
	if g == nil || g.Phase != fleet.PhaseServing {
		return false
	}
	for rank, m := range g.Members {
		if e := s.engines[m.Instance]; e == nil || !e.up || !e.report.Fills(g, rank) {
			return false
		}
	}
	return true
}

// account adds the downtime and the stranded time of one step.
func (s *groupsSim) account(step time.Duration) {
	membersMissing := false
	useful := make(map[string]bool, len(s.slots))
	grouped := make(map[string]bool, len(s.slots))
	for i := range s.groups {
		g := s.current.Group(s.groups[i].Name)
		if g == nil {
			membersMissing = true
		} else {
			for _, m := range g.Members {
				e := s.engines[m.Instance]
				membersMissing = membersMissing || e == nil || !e.up
				grouped[m.Instance] = true
			}
		}
		if s.serves(g) {
			for _, m := range g.Members {
				useful[m.Instance] = true
			}
			continue
		}
		s.figures.downtime += step
		if s.groups[i].Service == groupsPriorityService {
			s.figures.neededDowntime += step
		}
	}
	for id, e := range s.engines {
		if e.up && e.entry.State == fleet.InstanceLive && !useful[id] && (membersMissing || grouped[id]) {
			s.figures.stranded += step
		}
	}
}
