package limit

import (
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// ShareInput is what a share policy decides from.
type ShareInput struct {
	Self         string
	Organisation string
	// Members is the number of members that take requests, this node included.
	Members int
	// Demand is the newest demand of each node; nil when none is known.
	Demand *blackboard.Demand
	// LocalDemand is this node's own demand, in tokens per second.
	LocalDemand float64
	Now         time.Time
	// DemandLifetime is the age at which a node's demand no longer counts.
	DemandLifetime time.Duration

	// sums are those of Demand, if they are known already.
	sums *demandSums
}

// demandSums are the sums over the other nodes with fresh demand. They are made
// once for all organisations, because there may be hundreds of nodes.
type demandSums struct {
	heard          int
	byOrganisation map[string]float64
}

// sumDemand adds up the fresh demand of all nodes but self.
func sumDemand(demand *blackboard.Demand, self string, now time.Time, lifetime time.Duration) *demandSums {
	sums := &demandSums{byOrganisation: make(map[string]float64)}
	if demand == nil {
		return sums
	}
	for node, d := range demand.ByNode {
		if node == self || now.Sub(d.HeardAt) > lifetime {
			continue
		}
		sums.heard++
		for organisation, rate := range d.TokensPerSecond {
			sums.byOrganisation[organisation] += rate
		}
	}
	return sums
}

// SharePolicy decides which part of an organisation's limit this node may use,
// from 0 to 1.
type SharePolicy interface {
	Share(in ShareInput) float64
}
