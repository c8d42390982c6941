package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/logsink"
	"github.com/rattanlanding/rattanlanding/object"
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

// Ranges of the fields of a valid record.
const (
	maxHolderBytes = 256
	// maxEpoch is far above the epochs of all eras, and leaves room for those that are
	// derived from it.
	maxEpoch = 1 << 40
	// maxDuration is above the duration of any lease; a longer one would keep all nodes
	// from acquiring it.
	maxDuration = time.Minute
)

// decodeRecord decodes a stored record. Its errors name the invalid field.
func decodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("lease record: %s", logsink.Shorten(err.Error()))
	}
	switch {
	case r.Holder == "" || len(r.Holder) > maxHolderBytes:
		return Record{}, fmt.Errorf("lease record: holder: %d bytes, 1 to %d are allowed", len(r.Holder), maxHolderBytes)
	case len(r.Boot) > maxHolderBytes:
		return Record{}, fmt.Errorf("lease record: boot: %d bytes, at most %d are allowed", len(r.Boot), maxHolderBytes)
	case r.Epoch == 0 || r.Epoch > maxEpoch:
		return Record{}, fmt.Errorf("lease record: epoch: %d is not between 1 and %d", r.Epoch, int64(maxEpoch))
	case r.DurationMs <= 0 || r.DurationMs > maxDuration.Milliseconds():
		return Record{}, fmt.Errorf("lease record: durationMs: %d is not between 1 and %d", r.DurationMs, maxDuration.Milliseconds())
	case r.Era > object.MaxEra:
		return Record{}, fmt.Errorf("lease record: era: %d exceeds %d", r.Era, int64(object.MaxEra))
	}
	return r, nil
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
