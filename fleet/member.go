package fleet

import "time"

// NodeState is the lifecycle state of a node.
type NodeState string

const (
	// NodeServing means that the node takes requests.
	NodeServing NodeState = "serving"
	// NodeLeaving means that the node is shutting down: responses to address
	// requests don't include it and it holds no control shard.
	NodeLeaving NodeState = "leaving"
	// NodeSuspect means that no heartbeat of a member was received for some
	// time. A node determines it for other nodes and never reports it of itself.
	NodeSuspect NodeState = "suspect"
)

// Member is the membership record of one node.
type Member struct {
	// Node is the node's name.
	Node string `json:"node"`
	// Boot identifies one run of the process; it changes with every start.
	Boot          string `json:"boot"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is the "host:port" for callers.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is the "host:port" for peers.
	PeerAddress string    `json:"peerAddress"`
	State       NodeState `json:"state"`
	// Counter is the member's heartbeat counter.
	Counter uint64 `json:"counter"`
}

// MemberView is a member with the time of its newest heartbeat received by this
// node.
type MemberView struct {
	Member
	// HeartbeatAt is the time of the newest heartbeat on this process's clock:
	// the time at which the request was sent whose response contained it, minus
	// the age that the relaying peer stated.
	HeartbeatAt time.Time `json:"heardAt"`
}
