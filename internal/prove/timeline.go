package prove

import (
	"slices"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// Kinds of faults that the checks interpret. Their targets are instance IDs,
// separated by spaces.
const (
	// FaultKillEngine kills an engine. The engine is unavailable until its process
	// starts again, which it records as a change to the idle role.
	FaultKillEngine = "kill engine"
	// FaultFreezeEngine suspends an engine's process.
	FaultFreezeEngine = "freeze engine"
	// FaultFreezeFabricDomain suspends the processes of all engines of a fabric
	// domain.
	FaultFreezeFabricDomain = "fabric domain dark"
	// FaultHangEngine stops an engine from answering; it still records events.
	FaultHangEngine = "hang engine"
)

// engineState is the state of an engine from a given time on.
type engineState struct {
	at     time.Time
	role   standin.RoleChange
	killed bool
	// stopFaults is the number of active faults that suspend or hang the engine.
	stopFaults int
}

// availableAs reports whether the engine is ready as the given rank of the group
// and not under a fault that stops it.
func (s *engineState) availableAs(group groupID, rank int) bool {
	return !s.killed && s.stopFaults == 0 && s.role.State == fleet.EngineReady && s.role.Group == group.name &&
		s.role.Generation == group.generation && s.role.Rank == rank
}

// timelines maps each engine's instance ID to its states, in order of time.
type timelines map[string][]engineState

// newTimelines derives the engines' states from the role changes that they
// recorded and from the faults that stop engines.
func newTimelines(h *History) timelines {
	type change struct {
		at    time.Time
		apply func(*engineState)
	}
	changes := map[string][]change{}
	add := func(instance string, at time.Time, apply func(*engineState)) {
		changes[instance] = append(changes[instance], change{at, apply})
	}
	for i := range h.Events {
		e := &h.Events[i]
		if e.Role != nil {
			add(e.Instance, e.At, func(s *engineState) { s.role, s.killed = *e.Role, false })
		}
	}
	for _, f := range h.Faults {
		for _, instance := range strings.Fields(f.Target) {
			switch f.Kind {
			case FaultKillEngine:
				add(instance, f.From, func(s *engineState) { s.killed = true })
			case FaultFreezeEngine, FaultHangEngine, FaultFreezeFabricDomain:
				add(instance, f.From, func(s *engineState) { s.stopFaults++ })
				if !f.To.IsZero() {
					add(instance, f.To, func(s *engineState) { s.stopFaults-- })
				}
			}
		}
	}
	result := timelines{}
	for instance, changesOfInstance := range changes {
		slices.SortStableFunc(changesOfInstance, func(a, b change) int { return a.at.Compare(b.at) })
		var state engineState
		for _, next := range changesOfInstance {
			state.at = next.at
			next.apply(&state)
			result[instance] = append(result[instance], state)
		}
	}
	return result
}

// unavailableSince reports whether, at the given time, the engine is unavailable
// as the rank of the group, and since when. The time is zero if the engine was
// never available as that rank before.
func (t timelines) unavailableSince(instance string, group groupID, rank int, at time.Time) (since time.Time, unavailable bool) {
	timeline := t[instance]
	for i := len(timeline) - 1; i >= 0; i-- {
		if timeline[i].at.After(at) {
			continue
		}
		if timeline[i].availableAs(group, rank) {
			return since, !since.IsZero()
		}
		since = timeline[i].at
	}
	return time.Time{}, true
}
