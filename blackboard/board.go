package blackboard

import (
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Board is the blackboard of one process. The comment of each section names the
// package that owns it.
type Board struct {
	// Configuration is the newest accepted configuration that this node has;
	// owner: replica.
	Configuration Section[fleet.Configuration]
	// Placements holds the newest placement of each fabric domain; owner:
	// replica.
	Placements Section[Placements]
	// Instances is the newest instance list that this node has; owner: replica.
	Instances Section[fleet.InstanceList]
	// Confirmation determines whether this node may serve; owner: replica.
	Confirmation Section[Confirmation]
	// Members are the live members, including this node; owner: peer.
	Members Section[Members]
	// Evidence holds the newest report of each backend server; owner: health.
	Evidence Section[Evidence]
	// Demand is the demand of the organisations on all nodes; owner: peer.
	Demand Section[Demand]
	// Shards are the control shards held by this node; owner: lease.
	Shards Section[Shards]
	// Lifecycle is the state of this node; owner: node.
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
	// ChangedAt is the time on this process's clock at which it received the
	// version.
	ChangedAt time.Time `json:"changedAt"`
}

// Confirmation states until when this node's configuration revision is confirmed
// to be the newest accepted one.
type Confirmation struct {
	Revision fleet.Revision `json:"revision"`
	// ConfirmedAt is the latest time, on this process's clock, at which Revision
	// was confirmed to be the newest accepted revision.
	ConfirmedAt time.Time `json:"confirmedAt"`
	// ServeUntil is the time after which this node takes no new work unless the
	// confirmation is renewed. The request path compares it with the clock.
	ServeUntil time.Time `json:"serveUntil"`
	// Majority is true if this node recently had contact with a majority of the
	// members.
	Majority bool `json:"majority"`
	// PlatformBehind is true if the platform returned an older revision than
	// this node has, for example after a restore from a backup.
	PlatformBehind bool `json:"platformBehind"`
}

// Members are the members of the system in this node's view.
type Members struct {
	// Self is this node's name.
	Self string `json:"self"`
	// All holds the live members and this node, sorted by node name.
	All []fleet.MemberView `json:"all"`
}

// Serving returns the members in the state serving, which take requests.
func (m *Members) Serving() []fleet.MemberView {
	serving := make([]fleet.MemberView, 0, len(m.All))
	for _, member := range m.All {
		if member.State == fleet.NodeServing {
			serving = append(serving, member)
		}
	}
	return serving
}

// Evidence maps instances to the newest evidence that they are healthy. An
// instance that is lost has no entry.
type Evidence struct {
	ByInstance map[string]Observation `json:"byInstance"`
}

// Observation is a report of an instance with the time at which it was observed.
type Observation struct {
	Report fleet.Report `json:"report"`
	// ObservedAt is the time on this process's clock at which the probe was
	// sent, or an earlier time if a peer observed the report.
	ObservedAt time.Time `json:"observedAt"`
	// Observer is the node that sent the probe, or the one that relayed the
	// report.
	Observer string `json:"observer"`
}

// Demand is the demand of the organisations on each node.
type Demand struct {
	// ByNode maps nodes to their newest demand.
	ByNode map[string]NodeDemand `json:"byNode"`
}

// NodeDemand is the demand on one node.
type NodeDemand struct {
	// ReceivedAt is the time of the report on this process's clock. For another
	// node's demand it is the time at which the request was sent whose response
	// contained the demand, minus the age stated there.
	ReceivedAt time.Time `json:"heardAt"`
	// TokensPerSecond maps organisations to the requested tokens per second.
	TokensPerSecond map[string]float64 `json:"tokensPerSecond"`
}

// Shards are the control shards that this node holds.
type Shards struct {
	Held map[string]HeldShard `json:"held"`
}

// HeldShard is a lease of a control shard that this node holds.
type HeldShard struct {
	// Epoch is the lease epoch.
	Epoch uint64 `json:"epoch"`
	// ValidUntil is the time, on this process's clock, until which no other node
	// will acquire the lease, unless the machine is suspended in the meantime.
	ValidUntil time.Time `json:"goodUntil"`
	// Suspended is suspend.Total at the time from which ValidUntil was counted.
	Suspended time.Duration `json:"-"`
}

// ValidFor returns how much longer no other node will acquire the lease; suspended is the
// present suspend.Total. The clock stands still while the machine is suspended, but the
// other nodes' clocks don't.
func (h HeldShard) ValidFor(now time.Time, suspended time.Duration) time.Duration {
	return h.ValidUntil.Sub(now) - (suspended - h.Suspended)
}

// Lifecycle is the state of this node.
type Lifecycle struct {
	State     fleet.NodeState `json:"state"`
	StartedAt time.Time       `json:"startedAt"`
	// LeavingSince is the start of the graceful shutdown; zero before.
	LeavingSince time.Time `json:"leavingSince,omitzero"`
}

// Loss is a failed probe of an instance.
type Loss struct {
	Instance string `json:"instance"`
	// Boot is the boot identifier in the last report, or empty.
	Boot string `json:"boot"`
	// At is the time on this process's clock at which the failed probe was sent.
	At time.Time `json:"at"`
}
