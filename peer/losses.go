package peer

import (
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// lossRetention is how long messages repeat a loss. Evidence from before the loss
// expires within that time.
const lossRetention = 3 * time.Second

// maxLosses limits the losses in one message. The loss of a failure domain of 120
// instances fits.
const maxLosses = 256

// lossLog keeps the recent losses detected by this node's own probes. Losses of other
// nodes are not passed on, because each node announces its own losses to all members.
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

// recent returns the newest losses within lossRetention, newest first, and discards
// older ones.
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
