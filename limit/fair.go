package limit

import (
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// claimant is an organisation that wants a part of the capacity.
type claimant struct {
	name   string
	demand float64
	weight float64
}

// fairShares divides a fraction of the demand at all nodes among organisations
// by weight and returns the part of each one's demand that is admitted. Demand
// of all model services counts together. It needs only the proportions of the
// demand, so nodes that hear a part of their peers agree about it.
func (l *Limiter) fairShares(configuration *fleet.Configuration, fraction float64, now time.Time) map[string]float64 {
	own := l.LocalDemand().TokensPerSecond
	in := ShareInput{Demand: l.board.Demand.Load(), Now: now, DemandLifetime: l.config.DemandLifetime}
	if members := l.board.Members.Load(); members != nil {
		in.Self = members.Self
	}
	claimants := make([]claimant, 0, len(configuration.Organisations))
	for i := range configuration.Organisations {
		organisation := &configuration.Organisations[i]
		in.Organisation = organisation.Name
		others, _ := otherDemand(in)
		c := claimant{organisation.Name, own[organisation.Name] + others, organisation.Weight}
		if c.weight <= 0 {
			c.weight = 1
		}
		claimants = append(claimants, c)
	}
	return divide(claimants, fraction)
}

// divide shares out a fraction of the whole demand so that no claimant gets more
// than it asks for and what it leaves goes to the others by weight (weighted
// max-min fairness). It returns the admitted part of each demand.
func divide(claimants []claimant, fraction float64) map[string]float64 {
	var left, weights float64
	for _, c := range claimants {
		left += fraction * c.demand
		weights += c.weight
	}
	slices.SortFunc(claimants, func(a, b claimant) int {
		if a.demand/a.weight < b.demand/b.weight {
			return -1
		}
		return 1
	})
	shares := make(map[string]float64, len(claimants))
	for _, c := range claimants {
		given := min(c.demand, left*c.weight/weights)
		shares[c.name] = 1
		if c.demand > 0 {
			shares[c.name] = given / c.demand
		}
		left -= given
		weights -= c.weight
	}
	return shares
}
