package formation

import (
	"maps"
	"slices"
	"strings"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// spanningReservationTime is how long the instances of closed groups over several
// domains are kept for a group within one domain. Requests that can't be continued by
// another group take several times longer in a group over several domains.
const spanningReservationTime = 2 * reservationTime

// consolidate closes groups over several fabric domains whose members, together with
// free instances, can form a group of the same model within one domain. It handles
// losses and arrivals that happen one by one: a group that was the best possible one
// when it was formed may later be slower than necessary. Of all domains it chooses the
// one for which the fewest groups are closed. Requests in progress that another group
// can continue are moved there; they end sooner than in the slow groups.
func (s *Snapshot) consolidate(free instancesByDomain) ([]engine.Command, Reservation) {
	if s.BeforeTraffic || len(s.Reservations) >= maxReservedDomains {
		return nil, Reservation{}
	}
	var best consolidation
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		spanning := slices.DeleteFunc(s.spanningGroups(m), func(g *engine.Group) bool { return s.CommandPending[g.Head().ID] })
		for _, domain := range slices.Sorted(maps.Keys(membersByDomain(spanning))) {
			if _, reserved := s.Reservations[domain]; reserved {
				continue
			}
			r, found := s.consolidateIn(domain, m, spanning, free)
			if found && (best.model == nil || len(r.closed) < len(best.closed)) {
				best = r
			}
		}
	}
	if best.model == nil {
		return nil, Reservation{}
	}
	commands, reservation := s.closeGroups(best.model, nil, best.closed)
	for i := range commands {
		commands[i].AbortInFlight = s.Repeatable
	}
	reservation.Domain, reservation.Groups = best.domain, 1
	reservation.Until = s.Now.Add(spanningReservationTime)
	return commands, reservation
}

// consolidation is a possible group within one fabric domain, and the groups over
// several domains to close for it.
type consolidation struct {
	domain string
	model  *catalog.Model
	closed []*engine.Group
}

// consolidateIn returns the groups to close for a group within the given domain, those
// with the most members there first. It reports whether such a group is possible and
// increases the total capacity.
func (s *Snapshot) consolidateIn(domain string, m *catalog.Model, spanning []*engine.Group, free instancesByDomain) (consolidation, bool) {
	membersHere := func(g *engine.Group) int {
		return len(slices.DeleteFunc(slices.Clone(g.Members), func(in *engine.Instance) bool { return in.FabricDomain != domain }))
	}
	sorted := slices.Clone(spanning)
	slices.SortStableFunc(sorted, func(a, b *engine.Group) int {
		if d := membersHere(b) - membersHere(a); d != 0 {
			return d
		}
		return strings.Compare(a.ID.Name, b.ID.Name)
	})
	missing := m.Size - len(withWeights(free[domain], m.Name))
	rest := 0
	r := consolidation{domain: domain, model: m}
	for _, g := range sorted {
		if n := membersHere(g); missing > 0 && n > 0 {
			r.closed = append(r.closed, g)
			missing -= n
			rest += len(g.Members) - n
		}
	}
	if missing > 0 || len(r.closed) == 0 {
		return consolidation{}, false
	}
	// The members in other domains can again form groups over several domains.
	perGroup := s.relativeCapacity(r.closed[0])
	before := float64(len(r.closed)) * perGroup
	after := 1 + float64(rest/m.Size)*perGroup
	return r, after > before
}

// membersByDomain counts the members of groups by fabric domain.
func membersByDomain(groups []*engine.Group) map[string]int {
	counts := map[string]int{}
	for _, g := range groups {
		for _, in := range g.Members {
			counts[in.FabricDomain]++
		}
	}
	return counts
}
