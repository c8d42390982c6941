package limit

import (
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// ShareInput is the input of a SharePolicy.
type ShareInput struct {
	// Self is the name of this node.
	Self         string
	Organisation string
	// Members is the number of serving members, including this node.
	Members int
	// Demand is the newest demand received from each node; nil if there is none.
	Demand *blackboard.Demand
	// LocalDemand is this node's own demand, in tokens per second.
	LocalDemand float64
	Now         time.Time
	// DemandLifetime is the age above which a node's demand is ignored.
	DemandLifetime time.Duration

	// sums are the sums of Demand, or nil if they have not been computed.
	sums *peerDemandSums
}

// peerDemandSums are the sums over the other nodes with fresh demand. They are
// computed once for all organisations, because there may be hundreds of nodes.
type peerDemandSums struct {
	// peers is the number of other nodes with fresh demand.
	peers int
	// byOrganisation is in tokens per second.
	byOrganisation map[string]float64
}

// sumDemand adds up the fresh demand of all nodes except self.
func sumDemand(demand *blackboard.Demand, self string, now time.Time, lifetime time.Duration) *peerDemandSums {
	sums := &peerDemandSums{byOrganisation: make(map[string]float64)}
	if demand == nil {
		return sums
	}
	for node, d := range demand.ByNode {
		if node == self || now.Sub(d.ReceivedAt) > lifetime {
			continue
		}
		sums.peers++
		for organisation, rate := range d.TokensPerSecond {
			sums.byOrganisation[organisation] += rate
		}
	}
	return sums
}

// SharePolicy returns the fraction of an organisation's limit, from 0 to 1, that
// this node may use.
type SharePolicy interface {
	Share(in ShareInput) float64
}
