package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// PlanState is the state of a plan in progress that policies may query.
type PlanState struct {
	input *Input
	draft *draft
	// shortages are ordered by descending priority.
	shortages []Shortage
}

// ActiveGroup is a placed group that is not being withdrawn.
type ActiveGroup struct {
	Group    string
	Priority int
	// Usable is the number of members that will be free after the group is
	// released.
	Usable int
}

// preemptedBefore reports whether g is preempted in preference to other: the
// lower priority first, then fewer usable members, then the name.
func (g *ActiveGroup) preemptedBefore(other *ActiveGroup) bool {
	return cmp.Or(cmp.Compare(g.Priority, other.Priority), cmp.Compare(g.Usable, other.Usable),
		cmp.Compare(g.Group, other.Group)) < 0
}

// Due reports whether a shortage has lasted for the given fraction of the repair
// delay. A group that is not placed and one whose lost members will not come
// back are due at once.
func (s *PlanState) Due(short *Shortage, fraction float64) bool {
	if !short.Placed || short.Permanent {
		return true
	}
	return short.LostFor >= time.Duration(float64(s.input.Limits.RepairDelay)*fraction)
}

// FreeCount returns the number of free instances that could fill the shortage.
func (s *PlanState) FreeCount(short *Shortage) int { return len(s.candidates(short)) }

// CanFill reports whether there are free instances for all vacant ranks and the
// weights they need may be loaded now.
func (s *PlanState) CanFill(short *Shortage) bool {
	found := s.candidates(short)
	if len(found) < len(short.Vacant) {
		return false
	}
	needed := s.countLoads(found[:len(short.Vacant)], &short.Service)
	return needed == 0 || s.draft.loadsLeft > 0
}

// Incomplete returns the shortages of incomplete groups on instances of a pool, highest
// priority first. Withdrawn groups are left out.
func (s *PlanState) Incomplete(pool string) []Shortage {
	var found []Shortage
	for i := range s.shortages {
		g := s.draft.next.Group(s.shortages[i].Group.Name)
		if s.shortages[i].Placed && s.shortages[i].Service.Pool == pool && g != nil && g.Phase != fleet.PhaseWithdrawn {
			found = append(found, s.shortages[i])
		}
	}
	return found
}

// ActiveGroups returns the forming and serving groups on instances of a pool.
func (s *PlanState) ActiveGroups(pool string) []ActiveGroup {
	var found []ActiveGroup
	for i := range s.draft.next.Groups {
		g := &s.draft.next.Groups[i]
		service, known := s.input.Services[g.Service]
		if !known || service.Pool != pool || g.Phase == fleet.PhaseWithdrawn {
			continue
		}
		o := ActiveGroup{Group: g.Name, Priority: service.Priority}
		for _, m := range g.Members {
			if s.recoverable(m.Instance) {
				o.Usable++
			}
		}
		found = append(found, o)
	}
	return found
}

// SupplyPending reports whether the free instances and those that are being
// drained or released suffice for the shortage, so that no further group needs
// to be withdrawn.
func (s *PlanState) SupplyPending(short *Shortage) bool {
	pending := s.FreeCount(short)
	for id, view := range s.input.Instances {
		if view.Entry.Pool != short.Service.Pool || !s.recoverable(id) || (view.free() && !s.draft.inGroup(id)) {
			continue
		}
		group, placed := s.draft.owner[id]
		if !placed {
			// An instance that has not become idle within the drain allowance is
			// not counted.
			if s.input.Now.Sub(view.UnplacedAt) < s.input.Limits.DrainAllowance {
				pending++
			}
			continue
		}
		g := s.draft.next.Group(group)
		if group != short.Group.Name && g != nil && g.Phase == fleet.PhaseWithdrawn && s.draft.removedWhenDrained(g) {
			pending++
		}
	}
	return pending >= len(short.Vacant)
}

// recoverable reports whether an instance will be free once it is released.
func (s *PlanState) recoverable(id string) bool {
	view, known := s.input.Instances[id]
	return known && view.Listed && view.Fresh && !view.leaving()
}

// candidates returns the free instances for a shortage. Those with the service's
// weights in memory come first, then those with the fewest other weights, so
// that loaded weights of other services stay useful.
func (s *PlanState) candidates(short *Shortage) []string {
	var found []string
	for id, view := range s.input.Instances {
		if s.draft.inGroup(id) {
			continue
		}
		if view.Entry.Pool == short.Service.Pool && view.Entry.FabricDomain == s.input.FabricDomain && view.free() {
			found = append(found, id)
		}
	}
	slices.SortFunc(found, func(a, b string) int {
		va, vb := s.input.Instances[a], s.input.Instances[b]
		return cmp.Or(
			cmp.Compare(loadsNeeded(&va.Report, &short.Service), loadsNeeded(&vb.Report, &short.Service)),
			cmp.Compare(len(va.Report.LoadedVersions), len(vb.Report.LoadedVersions)),
			cmp.Compare(a, b))
	})
	return found
}

// countLoads returns the number of instances that must load the service's
// weights.
func (s *PlanState) countLoads(ids []string, service *fleet.Service) int {
	count := 0
	for _, id := range ids {
		view := s.input.Instances[id]
		count += loadsNeeded(&view.Report, service)
	}
	return count
}

// loadsNeeded is 1 if the weights of the service are not in memory, else 0.
func loadsNeeded(r *fleet.Report, service *fleet.Service) int {
	if slices.Contains(r.LoadedVersions, service.Name+"/"+service.Version) {
		return 0
	}
	return 1
}
