package formation

import (
	"maps"
	"slices"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// completionPart is the part of a group's members that must be free, with its
// model's weights, before groups of other models are closed for the rest.
const completionPart = 0.5

// complete keeps the survivors of broken groups for a model that has fewer groups
// than its share, where a few members of other models' groups make them whole: these
// are closed. It answers to losses that break large groups: their survivors are too
// few for another one and would go to a model that has enough. Requests of closed
// groups finish first.
func (s *Situation) complete(free domains, need *needs) ([]engine.Command, []Reservation) {
	if s.LoadsAreShort {
		return nil, nil
	}
	s.Reserved = maps.Clone(s.Reserved)
	if s.Reserved == nil {
		s.Reserved = map[string]Reservation{}
	}
	var commands []engine.Command
	var reservations []Reservation
	for i := range s.Profile.Models {
		model := &s.Profile.Models[i]
		givers := s.convertible(model)
		for _, domain := range slices.Sorted(maps.Keys(free)) {
			warm := len(warmOf(free[domain], model.Name))
			missing := model.Size - warm
			if _, reserved := s.Reserved[domain]; reserved || missing <= 0 ||
				float64(warm) < completionPart*float64(model.Size) || need.target[model.Name] < need.working[model.Name]+1 {
				continue
			}
			taken := s.spareGroups(givers[domain], need, missing)
			if taken == nil {
				continue
			}
			closes, reservation := s.closeFor(model, free[domain], taken)
			need.working[model.Name] += float64(reservation.Groups)
			for _, g := range taken {
				need.working[g.Model]--
			}
			s.Reserved[domain] = reservation
			commands, reservations = append(commands, closes...), append(reservations, reservation)
		}
	}
	return commands, reservations
}

// spareGroups returns groups with the given number of members, at least, whose
// models have more than their share and than they require; nil if there are too few.
func (s *Situation) spareGroups(groups []*engine.Group, need *needs, members int) []*engine.Group {
	var taken []*engine.Group
	closed := map[string]float64{}
	for _, g := range groups {
		if members <= 0 {
			break
		}
		// A group with more members than are missing would serve more than it completes.
		if len(g.Members) > members+1 || need.working[g.Model]-closed[g.Model]-1 < max(need.required[g.Model], need.target[g.Model]-1) {
			continue
		}
		closed[g.Model]++
		taken = append(taken, g)
		members -= len(g.Members)
	}
	if members > 0 {
		return nil
	}
	return taken
}

// closeFor returns the orders that close groups for the sake of a model, and the
// reservation of their domain.
func (s *Situation) closeFor(model *catalog.Model, free []*engine.Instance, groups []*engine.Group) ([]engine.Command, Reservation) {
	var commands []engine.Command
	reservation := Reservation{Domain: groups[0].Members[0].FabricDomain, Model: model.Name, Until: s.Now.Add(reservationTime)}
	members := len(warmOf(free, model.Name))
	for _, g := range groups {
		members += len(g.Members)
		reservation.Closed = append(reservation.Closed, g.ID)
		commands = append(commands, engine.Command{Operation: engine.CloseHead, Instance: g.Head().ID,
			Address: g.Head().Address, Group: g.ID})
	}
	reservation.Groups = members / model.Size
	return commands, reservation
}
