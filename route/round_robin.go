package route

import (
	"sync/atomic"
	"time"
)

// RoundRobin takes the targets in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Choose implements Policy.
func (r *RoundRobin) Choose(targets []*Target, _ Request, _ time.Time) *Target {
	return targets[(r.next.Add(1)-1)%uint64(len(targets))]
}
