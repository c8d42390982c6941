package prove

import (
	"slices"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// Kinds of faults that the checks interpret. Their targets are the instances,
// separated by spaces.
const (
	// FaultKillEngine takes the engine away until its process starts again,
	// which the engine records as an idle role.
	FaultKillEngine = "kill engine"
	// FaultFreezeEngine and FaultDarkDomain stop whole processes.
	FaultFreezeEngine = "freeze engine"
	FaultDarkDomain   = "fabric domain dark"
	// FaultHangEngine stops the engine's answers but not its record.
	FaultHangEngine = "hang engine"
)

// condition is what an engine is from a moment on.
type condition struct {
	at   time.Time
	role standin.RoleChange
	dead bool
	// stopped counts the faults that stop the engine at present.
	stopped int
}

// fills tells whether the engine has the role and can act in it.
func (c *condition) fills(group groupID, rank int) bool {
	return !c.dead && c.stopped == 0 && c.role.State == fleet.EngineReady && c.role.Group == group.name &&
		c.role.Generation == group.generation && c.role.Rank == rank
}

// timelines holds the conditions of each engine in order of time.
type timelines map[string][]condition

// newTimelines reads the engines' own record of their roles and the faults that
// take engines away.
func newTimelines(h *History) timelines {
	type change struct {
		at    time.Time
		apply func(*condition)
	}
	changes := map[string][]change{}
	add := func(instance string, at time.Time, apply func(*condition)) {
		changes[instance] = append(changes[instance], change{at, apply})
	}
	for i := range h.Events {
		e := &h.Events[i]
		if e.Role != nil {
			add(e.Instance, e.At, func(c *condition) { c.role, c.dead = *e.Role, false })
		}
	}
	for _, f := range h.Faults {
		for _, instance := range strings.Fields(f.Target) {
			switch f.Kind {
			case FaultKillEngine:
				add(instance, f.From, func(c *condition) { c.dead = true })
			case FaultFreezeEngine, FaultHangEngine, FaultDarkDomain:
				add(instance, f.From, func(c *condition) { c.stopped++ })
				if !f.To.IsZero() {
					add(instance, f.To, func(c *condition) { c.stopped-- })
				}
			}
		}
	}
	lines := timelines{}
	for instance, list := range changes {
		slices.SortStableFunc(list, func(a, b change) int { return a.at.Compare(b.at) })
		var now condition
		for _, next := range list {
			now.at = next.at
			next.apply(&now)
			lines[instance] = append(lines[instance], now)
		}
	}
	return lines
}

// lostSince returns since when an engine has not filled a rank of a group at a
// moment. lost is false if it fills it; the time is zero if it never did.
func (l timelines) lostSince(instance string, group groupID, rank int, at time.Time) (since time.Time, lost bool) {
	line := l[instance]
	for i := len(line) - 1; i >= 0; i-- {
		if line[i].at.After(at) {
			continue
		}
		if line[i].fills(group, rank) {
			return since, !since.IsZero()
		}
		since = line[i].at
	}
	return time.Time{}, true
}
