package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// minDemandAge is how long the demand must have been measured before groups are
	// closed because of it.
	minDemandAge = 6 * time.Second
	// reservationTime is how long the instances of closed groups are kept for the
	// model in whose favour they were closed: streams in progress take some seconds.
	reservationTime = 4500 * time.Millisecond
	// maxReservedDomains bounds the domains whose groups are moved to another model at a
	// time, so that the demand is evaluated again before more of them are moved.
	maxReservedDomains = 2
)

// Reservation keeps the free instances of a fabric domain for one model.
type Reservation struct {
	Domain, Model string
	Until         time.Time
	// Closed are the groups that were closed to supply members.
	Closed []engine.GroupID
	// Groups is the number of groups that the reserved instances will form.
	Groups int
}

// closedForReservation reports whether a group was closed to supply members to a
// reservation.
func (s *Snapshot) closedForReservation(id engine.GroupID) bool {
	for _, r := range s.Reservations {
		if slices.Contains(r.Closed, id) {
			return true
		}
	}
	return false
}

// reservedFor reports whether a domain's free instances are reserved for the model.
func (s *Snapshot) reservedFor(domain, model string) bool {
	r, reserved := s.Reservations[domain]
	return reserved && r.Model == model
}

// reservedForOther reports whether a domain's free instances are reserved for another
// model.
func (s *Snapshot) reservedForOther(domain, model string) bool {
	r, reserved := s.Reservations[domain]
	return reserved && r.Model != model
}

// rebalance closes groups of a model that can spare them, so that their members can
// form a group of the model with the highest utilisation. It handles losses that
// affect one model more than another, and traffic that shifts between models. All
// members have the weights of that model already; requests in progress finish first.
func (s *Snapshot) rebalance(free instancesByDomain, need *needs) ([]engine.Command, Reservation) {
	if s.BeforeTraffic || s.DemandAge < minDemandAge {
		return nil, Reservation{}
	}
	target := s.fullestModel(need)
	if target == nil || need.deficit(target.Name) <= 0 || len(s.Reservations) >= maxReservedDomains {
		return nil, Reservation{}
	}
	var best []*engine.Group
	for domain, groups := range s.convertibleGroups(target) {
		if _, reserved := s.Reservations[domain]; reserved {
			continue
		}
		missing := target.Size - len(withWeights(free[domain], target.Name))
		var surplus []*engine.Group
		for _, g := range groups {
			if missing > 0 && canSpareGroups(need, g.Model, len(surplus)+1, target.Name) {
				surplus = append(surplus, g)
				missing -= len(g.Members)
			}
		}
		if missing <= 0 && len(surplus) > 0 && (best == nil || len(surplus) < len(best)) {
			best = surplus
		}
	}
	if best == nil {
		return nil, Reservation{}
	}
	return s.closeGroups(target, free[best[0].Members[0].FabricDomain], best)
}

// fullestModel returns the model whose groups have the highest utilisation, or nil if
// no model has demand.
func (s *Snapshot) fullestModel(need *needs) *catalog.Model {
	var fullest *catalog.Model
	lowest := 0.0
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		if need.full[m.Name] <= 0 {
			continue
		}
		if ratio := need.provisioned[m.Name] / need.full[m.Name]; fullest == nil || ratio < lowest {
			fullest, lowest = m, ratio
		}
	}
	return fullest
}

// convertibleGroups returns the serving groups of other models, by fabric domain, whose
// members all have the weights of the target model.
func (s *Snapshot) convertibleGroups(target *catalog.Model) map[string][]*engine.Group {
	byDomain := map[string][]*engine.Group{}
	for _, g := range s.Groups {
		if g.Model == target.Name || g.SpansDomains() || !g.IsServing(s.size(g)) || s.CommandPending[g.Head().ID] {
			continue
		}
		if len(withWeights(g.Members, target.Name)) == len(g.Members) {
			domain := g.Members[0].FabricDomain
			byDomain[domain] = append(byDomain[domain], g)
		}
	}
	return byDomain
}

// canSpareGroups reports whether, after the given number of a model's groups are
// closed, its groups would still have a lower utilisation than those of the target
// model with one more group. Planned utilisations differ between models and aren't
// compared: with too few instances to reach them, the actual utilisations of all models
// are equalised.
func canSpareGroups(need *needs, model string, closed int, target string) bool {
	after := (need.provisioned[model] - float64(closed)) / need.full[model]
	return after >= (need.provisioned[target]+1)/need.full[target]
}

// withWeights returns the instances in list that have the weights of a model.
func withWeights(list []*engine.Instance, model string) []*engine.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(in *engine.Instance) bool { return !isWarm(in, model) })
}

// warm returns the instances that have the weights of a model, starting with those in
// the domain with the most of them.
func (d instancesByDomain) warm(model string) []*engine.Instance {
	var lists [][]*engine.Instance
	for _, domain := range slices.Sorted(maps.Keys(d)) {
		lists = append(lists, withWeights(d[domain], model))
	}
	slices.SortStableFunc(lists, func(a, b []*engine.Instance) int { return len(b) - len(a) })
	return slices.Concat(lists...)
}
