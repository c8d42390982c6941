package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Situation is the state of a plan in progress, as policies see it.
type Situation struct {
	in    *Input
	draft *draft
	short []Shortage
}

// Occupant is a placed group that is not being withdrawn.
type Occupant struct {
	Group    string
	Priority int
	// Usable counts the members that would be free for others.
	Usable int
}

func (o *Occupant) lessNeeded(than *Occupant) bool {
	return cmp.Or(cmp.Compare(o.Priority, than.Priority), cmp.Compare(o.Usable, than.Usable),
		cmp.Compare(o.Group, than.Group)) < 0
}

// Due tells whether a shortage has lasted for the repair delay times patience.
// A group that is not placed and one whose members will not come back are due
// at once.
func (s *Situation) Due(short *Shortage, patience float64) bool {
	if !short.Placed || short.Prompt {
		return true
	}
	return short.Silent >= time.Duration(float64(s.in.Limits.RepairDelay)*patience)
}

// Free returns the number of free instances that could fill the shortage.
func (s *Situation) Free(short *Shortage) int { return len(s.candidates(short)) }

// CanFill tells whether free instances can fill all vacant ranks and weights
// may be loaded now.
func (s *Situation) CanFill(short *Shortage) bool {
	found := s.candidates(short)
	if len(found) < len(short.Vacant) {
		return false
	}
	loads := s.loads(found[:len(short.Vacant)], &short.Service)
	return loads == 0 || s.draft.loadsLeft > 0
}

// Broken returns the placed shortages on instances of a pool, in the order of
// need.
func (s *Situation) Broken(pool string) []Shortage {
	var broken []Shortage
	for i := range s.short {
		g := s.draft.next.Group(s.short[i].Group.Name)
		if s.short[i].Placed && s.short[i].Service.Pool == pool && g != nil && g.Phase != fleet.PhaseWithdrawn {
			broken = append(broken, s.short[i])
		}
	}
	return broken
}

// Occupants returns the forming and serving groups on instances of a pool.
func (s *Situation) Occupants(pool string) []Occupant {
	var found []Occupant
	for i := range s.draft.next.Groups {
		g := &s.draft.next.Groups[i]
		service, known := s.in.Services[g.Service]
		if !known || service.Pool != pool || g.Phase == fleet.PhaseWithdrawn {
			continue
		}
		o := Occupant{Group: g.Name, Priority: service.Priority}
		for _, m := range g.Members {
			if s.recoverable(m.Instance) {
				o.Usable++
			}
		}
		found = append(found, o)
	}
	return found
}

// SupplyComing tells whether instances that are being drained or released will
// fill the shortage, so that no further group needs to be broken up.
func (s *Situation) SupplyComing(short *Shortage) bool {
	coming := s.Free(short)
	for id, view := range s.in.Instances {
		if view.Entry.Pool != short.Service.Pool || !s.recoverable(id) || (view.free() && !s.draft.held(id)) {
			continue
		}
		group, placed := s.draft.owner[id]
		if !placed {
			// An instance that does not become idle in time is not counted on.
			if s.in.Now.Sub(view.UnplacedAt) < s.in.Limits.DrainAllowance {
				coming++
			}
			continue
		}
		g := s.draft.next.Group(group)
		if group != short.Group.Name && g != nil && g.Phase == fleet.PhaseWithdrawn && s.draft.leaves(g) {
			coming++
		}
	}
	return coming >= len(short.Vacant)
}

// recoverable tells whether an instance will be free once it is released.
func (s *Situation) recoverable(id string) bool {
	view, known := s.in.Instances[id]
	return known && view.Listed && view.Fresh && !view.leaving()
}

// candidates returns the free instances for a shortage, those with the right
// weights first. Free instances without other weights in memory follow, so that
// loaded weights of other services stay useful.
func (s *Situation) candidates(short *Shortage) []string {
	var found []string
	for id, view := range s.in.Instances {
		if s.draft.held(id) {
			continue
		}
		if view.Entry.Pool == short.Service.Pool && view.Entry.FabricDomain == s.in.FabricDomain && view.free() {
			found = append(found, id)
		}
	}
	slices.SortFunc(found, func(a, b string) int {
		va, vb := s.in.Instances[a], s.in.Instances[b]
		return cmp.Or(
			cmp.Compare(lacks(&va.Report, &short.Service), lacks(&vb.Report, &short.Service)),
			cmp.Compare(len(va.Report.LoadedVersions), len(vb.Report.LoadedVersions)),
			cmp.Compare(a, b))
	})
	return found
}

// loads counts the instances that must load the service's weights.
func (s *Situation) loads(ids []string, service *fleet.Service) int {
	count := 0
	for _, id := range ids {
		view := s.in.Instances[id]
		count += lacks(&view.Report, service)
	}
	return count
}

// lacks is 1 if the weights of the service are not in memory, else 0.
func lacks(r *fleet.Report, service *fleet.Service) int {
	if slices.Contains(r.LoadedVersions, service.Name+"/"+service.Version) {
		return 0
	}
	return 1
}
