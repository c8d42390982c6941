package fleet

import "time"

// NodeState is the lifecycle state that a node tells its peers.
type NodeState string

const (
	// NodeServing means that the node takes requests.
	NodeServing NodeState = "serving"
	// NodeLeaving means that the node is stopping: no address answer names it
	// and it holds no control shard.
	NodeLeaving NodeState = "leaving"
	// NodeSuspect means that a member was silent for a while. Nodes derive it
	// for others and never state it of themselves.
	NodeSuspect NodeState = "suspect"
)

// Member is one process of the system as others know it.
type Member struct {
	Node string `json:"node"`
	// Boot changes with every start of the process.
	Boot          string    `json:"boot"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failureDomain"`
	CallerAddress string    `json:"callerAddress"`
	PeerAddress   string    `json:"peerAddress"`
	State         NodeState `json:"state"`
	// Counter is the member's heartbeat counter.
	Counter uint64 `json:"counter"`
}

// MemberView is a member with the time of the newest heartbeat known here.
type MemberView struct {
	Member
	// HeardAt is this process's clock at the newest heartbeat, moved back by
	// the age that the relaying peer gave.
	HeardAt time.Time `json:"heardAt"`
}
