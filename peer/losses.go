package peer

import (
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// lossRetention is how long a loss is repeated in messages. Evidence from before
// the loss expires within that time.
const lossRetention = 3 * time.Second

// maxLosses bounds the losses of one message. A failure domain of 120 instances
// fits.
const maxLosses = 256

// lossLog keeps the losses seen by this node's own probes. Losses of other nodes
// are not passed on, because their observer tells everyone itself.
type lossLog struct {
	mu     sync.Mutex
	losses []blackboard.Loss
}

// add appends losses.
func (l *lossLog) add(losses []blackboard.Loss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses = append(l.losses, losses...)
}

// recent returns the newest losses that are not older than lossRetention,
// newest first.
func (l *lossLog) recent(now time.Time) []blackboard.Loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses = slices.DeleteFunc(l.losses, func(loss blackboard.Loss) bool {
		return now.Sub(loss.At) >= lossRetention
	})
	newest := slices.Clone(l.losses[max(0, len(l.losses)-maxLosses):])
	slices.Reverse(newest)
	return newest
}
