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
	// Holder is the name of the node that holds the lease.
	Holder string `json:"holder"`
	// Boot is the boot id of the holder. A restarted node does not inherit the lease of
	// its predecessor.
	Boot string `json:"boot"`
	// Epoch increases with each new holder.
	Epoch uint64 `json:"epoch"`
	// Renewal counts the writes within an epoch. It distinguishes the writes of one
	// holder when the outcome of an ambiguous write is determined by a read.
	Renewal uint64 `json:"renewal"`
	// DurationMs is the lease duration in milliseconds.
	DurationMs int64 `json:"durationMs"`
	// Era is the era of the platform in which the record was written.
	Era uint64 `json:"era,omitempty"`
	// Released is true if the holder has released the lease.
	Released bool `json:"released,omitempty"`
}

const (
	// eraShift is the number of low bits of an epoch that count the holders within an era of
	// the platform.
	eraShift = 16
	// initialEra is the highest era of a platform that was never restored.
	initialEra = 1
)

// nextEpoch returns the epoch of the next holder. Once the platform was restored, the epochs
// of an era are above all of earlier ones, whose records it may have lost.
func nextEpoch(last, era uint64, restored bool) uint64 {
	if restored || era > initialEra {
		last = max(last, era<<eraShift)
	}
	return last + 1
}

// candidates returns the serving members that may hold the shard, the preferred one
// first. Other members than this node are excluded if their last heartbeat is older than
// suspectAfter.
func candidates(shard string, members *blackboard.Members, suspectAfter time.Duration, now time.Time) []string {
	var nodes []string
	for i := range members.All {
		m := &members.All[i]
		responsive := m.Node == members.Self || now.Sub(m.HeartbeatAt) <= suspectAfter
		if m.State == fleet.NodeServing && responsive {
			nodes = append(nodes, m.Node)
		}
	}
	return rendezvous.Rank(shard, nodes)
}
