package formation

import (
	"maps"
	"slices"
	"strings"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// spanningReservationTime is how long the instances of closed groups over several
// domains are kept for a group within one: where requests can't go on elsewhere, they
// take several times longer there.
const spanningReservationTime = 2 * reservationTime

// regroup closes groups over several domains whose members, with free instances, form
// a group of the same model within one domain. It answers to losses and arrivals that
// come one by one: a group that was the best possible one when it was formed may be
// slower than necessary later. Of all domains it takes the one that costs the fewest
// groups. Requests in progress go on elsewhere where they may, and end sooner there
// than in the slow groups.
func (s *Situation) regroup(free domains) ([]engine.Command, Reservation) {
	if s.LoadsAreShort || len(s.Reserved) >= maxReserved {
		return nil, Reservation{}
	}
	var best regrouping
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		spanning := slices.DeleteFunc(s.spanning(m), func(g *engine.Group) bool { return s.Ordered[g.Head().ID] })
		for _, domain := range slices.Sorted(maps.Keys(membersByDomain(spanning))) {
			if _, reserved := s.Reserved[domain]; reserved {
				continue
			}
			r, found := s.regroupIn(domain, m, spanning, free)
			if found && (best.model == nil || len(r.closed) < len(best.closed)) {
				best = r
			}
		}
	}
	if best.model == nil {
		return nil, Reservation{}
	}
	commands, reservation := s.closeFor(best.model, nil, best.closed)
	for i := range commands {
		commands[i].CutRunning = s.Repeatable
	}
	reservation.Domain, reservation.Groups = best.domain, 1
	reservation.Until = s.Now.Add(spanningReservationTime)
	return commands, reservation
}

// regrouping is a group within a domain that closed ones over several make possible.
type regrouping struct {
	domain string
	model  *catalog.Model
	closed []*engine.Group
}

// regroupIn returns the groups over several domains to close for a group within one of
// them, those with the most members there first, if more work is done afterwards.
func (s *Situation) regroupIn(domain string, m *catalog.Model, spanning []*engine.Group, free domains) (regrouping, bool) {
	here := func(g *engine.Group) int {
		return len(slices.DeleteFunc(slices.Clone(g.Members), func(in *engine.Instance) bool { return in.FabricDomain != domain }))
	}
	sorted := slices.Clone(spanning)
	slices.SortStableFunc(sorted, func(a, b *engine.Group) int {
		if d := here(b) - here(a); d != 0 {
			return d
		}
		return strings.Compare(a.ID.Name, b.ID.Name)
	})
	missing := m.Size - len(warmOf(free[domain], m.Name))
	rest := 0
	r := regrouping{domain: domain, model: m}
	for _, g := range sorted {
		if n := here(g); missing > 0 && n > 0 {
			r.closed = append(r.closed, g)
			missing -= n
			rest += len(g.Members) - n
		}
	}
	if missing > 0 || len(r.closed) == 0 {
		return regrouping{}, false
	}
	// The members in other domains can form groups over several of them again.
	part := s.workOf(r.closed[0])
	before := float64(len(r.closed)) * part
	after := 1 + float64(rest/m.Size)*part
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
