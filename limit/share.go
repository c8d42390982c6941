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
}

// SharePolicy decides which part of an organisation's limit this node may use,
// from 0 to 1.
type SharePolicy interface {
	Share(in ShareInput) float64
}
