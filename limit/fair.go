package limit

import (
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// organisationDemand is an organisation's demand on all nodes and its weight.
type organisationDemand struct {
	name string
	// demand is in tokens per second.
	demand float64
	weight float64
}

// fairShares divides a fraction of the demand on all nodes among the
// organisations by weight and returns the fraction of each one's demand to
// admit. The demand for all model services is added up. Only the proportions of
// the demand matter, so nodes that receive the demand of different subsets of
// their peers get about the same result.
func (l *Limiter) fairShares(configuration *fleet.Configuration, fraction float64, now time.Time) map[string]float64 {
	own := l.LocalDemand().TokensPerSecond
	in := ShareInput{Demand: l.board.Demand.Load(), Now: now, DemandLifetime: l.config.DemandLifetime}
	if members := l.board.Members.Load(); members != nil {
		in.Self = members.Self
	}
	demands := make([]organisationDemand, 0, len(configuration.Organisations))
	for i := range configuration.Organisations {
		organisation := &configuration.Organisations[i]
		in.Organisation = organisation.Name
		peerTokens, _ := peerDemand(in)
		c := organisationDemand{organisation.Name, own[organisation.Name] + peerTokens, organisation.Weight}
		if c.weight <= 0 {
			c.weight = 1
		}
		demands = append(demands, c)
	}
	return maxMinShares(demands, fraction)
}

// maxMinShares divides a fraction of the total demand with weighted max-min
// fairness: no organisation gets more than its demand, and what it doesn't use
// goes to the others by weight. It returns the admitted fraction of each demand.
func maxMinShares(demands []organisationDemand, fraction float64) map[string]float64 {
	var left, weights float64
	for _, c := range demands {
		left += fraction * c.demand
		weights += c.weight
	}
	slices.SortFunc(demands, func(a, b organisationDemand) int {
		if a.demand/a.weight < b.demand/b.weight {
			return -1
		}
		return 1
	})
	shares := make(map[string]float64, len(demands))
	for _, c := range demands {
		granted := min(c.demand, left*c.weight/weights)
		shares[c.name] = 1
		if c.demand > 0 {
			shares[c.name] = granted / c.demand
		}
		left -= granted
		weights -= c.weight
	}
	return shares
}
