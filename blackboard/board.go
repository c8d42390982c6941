package blackboard

import (
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Board is the blackboard of one process. The comment of each section names its
// owner.
type Board struct {
	// Configuration is the newest accepted configuration known; owner: replica.
	Configuration Section[fleet.Configuration]
	// Placements holds the newest placement of each fabric domain; owner:
	// replica.
	Placements Section[Placements]
	// Instances is the newest instance list known; owner: replica.
	Instances Section[fleet.InstanceList]
	// Confirmation tells whether this node may serve; owner: replica.
	Confirmation Section[Confirmation]
	// Members are the members known, this node among them; owner: peer.
	Members Section[Members]
	// Evidence is the newest report of each backend server; owner: health.
	Evidence Section[Evidence]
	// Demand is the demand of organisations at all nodes; owner: peer.
	Demand Section[Demand]
	// Shards are the control shards held by this node; owner: lease.
	Shards Section[Shards]
	// Lifecycle is this node's own state; owner: node.
	Lifecycle Section[Lifecycle]
}

// Placements maps fabric domains to their newest placement.
type Placements struct {
	ByDomain map[string]*VersionedPlacement `json:"byDomain"`
}

// VersionedPlacement is a placement with its object version.
type VersionedPlacement struct {
	Version   uint64          `json:"version"`
	Placement fleet.Placement `json:"placement"`
	// ChangedAt is this process's clock when it learnt the version.
	ChangedAt time.Time `json:"changedAt"`
}

// Confirmation states how far the configuration revision is known to be the
// newest one.
type Confirmation struct {
	Revision fleet.Revision `json:"revision"`
	// ConfirmedAt is the newest moment, on this process's clock, at which
	// Revision was known to be the newest accepted revision.
	ConfirmedAt time.Time `json:"confirmedAt"`
	// ServeUntil is the moment after which this node takes no new work unless
	// the confirmation is renewed. The request path compares it with its clock.
	ServeUntil time.Time `json:"serveUntil"`
	// Majority tells whether a majority of the members was heard lately.
	Majority bool `json:"majority"`
	// PlatformBehind tells that the platform showed an older revision than this
	// node has, as after a restore from a backup.
	PlatformBehind bool `json:"platformBehind"`
}

// Members are the members of the system as known here.
type Members struct {
	Self string `json:"self"`
	// All is sorted by node name and holds live members and this node.
	All []fleet.MemberView `json:"all"`
}

// Serving returns the members that take requests.
func (m *Members) Serving() []fleet.MemberView {
	serving := make([]fleet.MemberView, 0, len(m.All))
	for _, member := range m.All {
		if member.State == fleet.NodeServing {
			serving = append(serving, member)
		}
	}
	return serving
}

// Evidence maps instances to the newest positive evidence about them. An
// instance that is lost has no entry.
type Evidence struct {
	ByInstance map[string]Observation `json:"byInstance"`
}

// Observation is a report with the time it stands for.
type Observation struct {
	Report fleet.Report `json:"report"`
	// ObservedAt is this process's clock at the moment the probe was sent, or
	// an earlier moment when a peer observed the report.
	ObservedAt time.Time `json:"observedAt"`
	// Observer is the node that probed, or the one that passed the report on.
	Observer string `json:"observer"`
}

// Demand is what organisations ask for at each node.
type Demand struct {
	// ByNode maps nodes to their newest statement.
	ByNode map[string]NodeDemand `json:"byNode"`
}

// NodeDemand is the demand seen by one node.
type NodeDemand struct {
	HeardAt time.Time `json:"heardAt"`
	// TokensPerSecond maps organisations to tokens asked for per second.
	TokensPerSecond map[string]float64 `json:"tokensPerSecond"`
}

// Shards are the control shards that this node holds.
type Shards struct {
	Held map[string]HeldShard `json:"held"`
}

// HeldShard is a held lease.
type HeldShard struct {
	Epoch uint64 `json:"epoch"`
	// GoodUntil is the moment, on this process's clock, until which no other
	// node will claim the shard.
	GoodUntil time.Time `json:"goodUntil"`
}

// Lifecycle is the state of this node.
type Lifecycle struct {
	State     fleet.NodeState `json:"state"`
	StartedAt time.Time       `json:"startedAt"`
	// LeavingSince is zero until a graceful shutdown began.
	LeavingSince time.Time `json:"leavingSince,omitzero"`
}

// Loss tells that a probe of an instance failed.
type Loss struct {
	Instance string `json:"instance"`
	// Boot is the boot identity in the last report, or empty.
	Boot string `json:"boot"`
	// At is this process's clock at the moment the failed probe was sent.
	At time.Time `json:"at"`
}
