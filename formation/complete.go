package formation

import (
	"maps"
	"slices"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// completionFraction is the fraction of a group's members that must be free, with its
// model's weights, before groups of other models are closed to supply the rest.
const completionFraction = 0.5

// completeGroups reserves the remaining members of broken groups for a model that has
// fewer groups than its target, if a few members of other models' groups complete
// another group; it closes the groups of those members. This is needed after losses
// that break large groups: the remaining members are too few for another group and
// would be assigned to a model that has enough. Requests in progress in the closed
// groups finish first.
func (s *Snapshot) completeGroups(free instancesByDomain, need *needs) ([]engine.Command, []Reservation) {
	if s.BeforeTraffic {
		return nil, nil
	}
	s.Reservations = maps.Clone(s.Reservations)
	if s.Reservations == nil {
		s.Reservations = map[string]Reservation{}
	}
	var commands []engine.Command
	var reservations []Reservation
	for i := range s.Profile.Models {
		model := &s.Profile.Models[i]
		convertible := s.convertibleGroups(model)
		for _, domain := range slices.Sorted(maps.Keys(free)) {
			warmCount := len(withWeights(free[domain], model.Name))
			missing := model.Size - warmCount
			if _, reserved := s.Reservations[domain]; reserved || missing <= 0 ||
				float64(warmCount) < completionFraction*float64(model.Size) || need.target[model.Name] < need.provisioned[model.Name]+1 {
				continue
			}
			surplus := s.surplusGroups(convertible[domain], need, missing)
			if surplus == nil {
				continue
			}
			closes, reservation := s.closeGroups(model, free[domain], surplus)
			need.provisioned[model.Name] += float64(reservation.Groups)
			for _, g := range surplus {
				need.provisioned[g.Model]--
			}
			s.Reservations[domain] = reservation
			commands, reservations = append(commands, closes...), append(reservations, reservation)
		}
	}
	return commands, reservations
}

// surplusGroups returns groups with at least the given number of members in total.
// Without them, their models still have the groups that their demand requires and are at
// most one group short of their target. It returns nil if there are too few such groups.
func (s *Snapshot) surplusGroups(groups []*engine.Group, need *needs, members int) []*engine.Group {
	var surplus []*engine.Group
	closed := map[string]float64{}
	for _, g := range groups {
		if members <= 0 {
			break
		}
		// A group with more members than are missing serves more than the group that
		// it would complete.
		if len(g.Members) > members+1 || need.provisioned[g.Model]-closed[g.Model]-1 < max(need.required[g.Model], need.target[g.Model]-1) {
			continue
		}
		closed[g.Model]++
		surplus = append(surplus, g)
		members -= len(g.Members)
	}
	if members > 0 {
		return nil
	}
	return surplus
}

// closeGroups returns the commands that close groups in favour of a model, and the
// reservation of their fabric domain for it.
func (s *Snapshot) closeGroups(model *catalog.Model, free []*engine.Instance, groups []*engine.Group) ([]engine.Command, Reservation) {
	var commands []engine.Command
	reservation := Reservation{Domain: groups[0].Members[0].FabricDomain, Model: model.Name, Until: s.Now.Add(reservationTime)}
	members := len(withWeights(free, model.Name))
	for _, g := range groups {
		members += len(g.Members)
		reservation.Closed = append(reservation.Closed, g.ID)
		commands = append(commands, engine.Command{Operation: engine.CloseHead, Instance: g.Head().ID,
			Address: g.Head().Address, Group: g.ID})
	}
	reservation.Groups = members / model.Size
	return commands, reservation
}
