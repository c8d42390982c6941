package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// settledDemand is how long the demand has to be measured before groups are
	// given up for it.
	settledDemand = 6 * time.Second
	// reservationTime is how long the instances of closed groups are kept for the
	// model that they were closed for: streams in progress take some seconds.
	reservationTime = 4500 * time.Millisecond
	// maxReserved bounds the domains whose groups move to another model at a time, so
	// that the demand is judged again before more of them do.
	maxReserved = 2
)

// Reservation keeps the free instances of a domain for one model.
type Reservation struct {
	Domain, Model string
	Until         time.Time
	// Closed are the groups whose members are to be used.
	Closed []engine.GroupID
	// Groups is the number of groups that the instances will form.
	Groups int
}

// givesUp reports whether a group was closed for the sake of another model.
func (s *Situation) givesUp(id engine.GroupID) bool {
	for _, r := range s.Reserved {
		if slices.Contains(r.Closed, id) {
			return true
		}
	}
	return false
}

// keptFor reports whether a domain's free instances are kept for a model.
func (s *Situation) keptFor(domain, model string) bool {
	r, reserved := s.Reserved[domain]
	return reserved && r.Model == model
}

// reserves reports whether a domain's free instances are kept for another model.
func (s *Situation) reserves(domain, model string) bool {
	r, reserved := s.Reserved[domain]
	return reserved && r.Model != model
}

// rebalance closes groups of a model with enough of them, so that their members
// can form one of a model that is short. It answers to losses that hit one model
// more than another, and to traffic that shifts between models. All members have
// the weights already; requests in progress finish first.
func (s *Situation) rebalance(free domains, need *needs) ([]engine.Command, Reservation) {
	if s.LoadsAreShort || s.DemandFor < settledDemand {
		return nil, Reservation{}
	}
	short := s.shortest(need)
	if short == nil || need.lacks(short.Name) <= 0 || len(s.Reserved) >= maxReserved {
		return nil, Reservation{}
	}
	var best []*engine.Group
	for domain, groups := range s.convertible(short) {
		if _, reserved := s.Reserved[domain]; reserved {
			continue
		}
		missing := short.Size - len(warmOf(free[domain], short.Name))
		var taken []*engine.Group
		for _, g := range groups {
			if missing > 0 && affords(need, g.Model, len(taken)+1, short.Name) {
				taken = append(taken, g)
				missing -= len(g.Members)
			}
		}
		if missing <= 0 && len(taken) > 0 && (best == nil || len(taken) < len(best)) {
			best = taken
		}
	}
	if best == nil {
		return nil, Reservation{}
	}
	return s.closeFor(short, free[best[0].Members[0].FabricDomain], best)
}

// shortest returns the model whose groups are the fullest, or nil if none has demand.
func (s *Situation) shortest(need *needs) *catalog.Model {
	var short *catalog.Model
	least := 0.0
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		if need.full[m.Name] <= 0 {
			continue
		}
		if room := need.working[m.Name] / need.full[m.Name]; short == nil || room < least {
			short, least = m, room
		}
	}
	return short
}

// convertible returns the serving groups of other models, by domain, whose members
// have the weights of a model.
func (s *Situation) convertible(short *catalog.Model) map[string][]*engine.Group {
	byDomain := map[string][]*engine.Group{}
	for _, g := range s.Groups {
		if g.Model == short.Name || g.SpansDomains() || !g.Serving(s.size(g)) || s.Ordered[g.Head().ID] {
			continue
		}
		if len(warmOf(g.Members, short.Name)) == len(g.Members) {
			domain := g.Members[0].FabricDomain
			byDomain[domain] = append(byDomain[domain], g)
		}
	}
	return byDomain
}

// affords reports whether a model's groups would still be less full than those of
// another one with a group more, after a number of them are closed. The room that is
// planned with differs between models; with too few instances for it, the groups of
// all are equally full.
func affords(need *needs, model string, closed int, short string) bool {
	after := (need.working[model] - float64(closed)) / need.full[model]
	return after >= (need.working[short]+1)/need.full[short]
}

// warmOf returns the instances that have the weights of a model.
func warmOf(list []*engine.Instance, model string) []*engine.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(in *engine.Instance) bool { return !isWarm(in, model) })
}

// warm returns the instances that have a model's weights, those of the domains
// with most of them first.
func (d domains) warm(model string) []*engine.Instance {
	var lists [][]*engine.Instance
	for _, domain := range slices.Sorted(maps.Keys(d)) {
		lists = append(lists, warmOf(d[domain], model))
	}
	slices.SortStableFunc(lists, func(a, b []*engine.Instance) int { return len(b) - len(a) })
	return slices.Concat(lists...)
}
