package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// convertShortage is the shortage of a model from which groups of another one
	// are given up for it.
	convertShortage = 0.35
	// convertMargin is how much less short the other model must be, before and
	// after. It keeps groups from changing back and forth.
	convertMargin = 0.3
	// settledDemand is how long the demand has to be measured before groups are
	// given up for it.
	settledDemand = 6 * time.Second
	// reservationTime is how long the instances of closed groups are kept for the
	// model that they were closed for: streams in progress take some seconds.
	reservationTime = 5 * time.Second
)

// Reservation keeps the free instances of a domain for one model.
type Reservation struct {
	Domain, Model string
	Until         time.Time
	// Closed are the groups whose members are to be used.
	Closed []engine.GroupID
}

// givesUp reports whether a group was closed for the sake of another model.
func (s *Situation) givesUp(id engine.GroupID) bool {
	return s.Now.Before(s.Reserved.Until) && slices.Contains(s.Reserved.Closed, id)
}

// reserves reports whether a domain's free instances are kept for another model.
func (s *Situation) reserves(domain, model string) bool {
	r := s.Reserved
	return r.Domain == domain && r.Model != model && s.Now.Before(r.Until)
}

// rebalance closes groups of a model with enough of them, so that their members
// can form one of a model that is short. It answers to losses that hit one model
// more than another, and to traffic that shifts between models. All members have
// the weights already; requests in progress finish first.
func (s *Situation) rebalance(free domains, need *needs) ([]engine.Command, Reservation) {
	if s.Now.Before(s.Reserved.Until) || s.LoadsAreShort || s.DemandFor < settledDemand {
		return nil, Reservation{}
	}
	short := s.shortest(need)
	if short == nil || need.shortage(short.Name) < convertShortage {
		return nil, Reservation{}
	}
	var best []*engine.Group
	for domain, groups := range s.convertible(need, short) {
		missing := short.Size - len(warmOf(free[domain], short.Name))
		var taken []*engine.Group
		for _, g := range groups {
			if missing > 0 && s.affords(need, g, len(taken)+1, short) {
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
	var commands []engine.Command
	domain := best[0].Members[0].FabricDomain
	reservation := Reservation{Domain: domain, Model: short.Name, Until: s.Now.Add(reservationTime)}
	for _, g := range best {
		reservation.Closed = append(reservation.Closed, g.ID)
		commands = append(commands, engine.Command{Operation: engine.CloseHead, Instance: g.Head().ID,
			Address: g.Head().Address, Group: g.ID})
	}
	return commands, reservation
}

// shortest returns the model with the greatest shortage.
func (s *Situation) shortest(need *needs) *catalog.Model {
	var short *catalog.Model
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		if short == nil || need.shortage(m.Name) > need.shortage(short.Name) {
			short = m
		}
	}
	return short
}

// convertible returns the serving groups of other models, by domain, whose members
// have the weights of a model.
func (s *Situation) convertible(need *needs, short *catalog.Model) map[string][]*engine.Group {
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

// affords reports whether a group's model is less short than another, even after
// a number of its groups are closed.
func (s *Situation) affords(need *needs, g *engine.Group, closed int, short *catalog.Model) bool {
	target := max(need.target[g.Model], 0.5)
	after := (target - need.have[g.Model] + float64(closed)) / target
	return after < need.shortage(short.Name)-convertMargin+1/max(need.target[short.Name], 1)
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
