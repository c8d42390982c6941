package lease

import (
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/rendezvous"
)

// Kind is the object kind of lease records.
const Kind = "lease"

// Record is the stored form of a lease.
type Record struct {
	Holder string `json:"holder"`
	// Boot is the holder's boot identity: a restarted node does not inherit the
	// lease of its predecessor.
	Boot string `json:"boot"`
	// Epoch grows with each new holder.
	Epoch uint64 `json:"epoch"`
	// Renewal counts the writes of one epoch. It tells apart the writes of one
	// holder when an outcome is resolved by reading.
	Renewal uint64 `json:"renewal"`
	// DurationMs is the lease duration in milliseconds.
	DurationMs int64 `json:"durationMs"`
	// Released tells that the holder gave up the lease.
	Released bool `json:"released,omitempty"`
}

// candidates returns the members that may hold shards, first choice first. A
// member silent for longer than suspect is left out, except this node.
func candidates(shard string, members *blackboard.Members, suspect time.Duration, now time.Time) []string {
	var nodes []string
	for i := range members.All {
		m := &members.All[i]
		heard := m.Node == members.Self || now.Sub(m.HeardAt) <= suspect
		if m.State == fleet.NodeServing && heard {
			nodes = append(nodes, m.Node)
		}
	}
	return rendezvous.Rank(shard, nodes)
}
