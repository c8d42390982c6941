package retry

import "sync/atomic"

// Budget defaults.
const (
	// DefaultPercent is the number of retries allowed per 100 requests.
	DefaultPercent = 10
	// DefaultBurst is the number of retries that may be saved up.
	DefaultBurst = 10

	// costOfRetry is one retry in the bucket's unit, a hundredth of a retry.
	costOfRetry = 100
)

// Budget is a token bucket that each request fills a little and each retry
// empties. It keeps retries from multiplying the load when many attempts fail.
// It takes no lock.
type Budget struct {
	percent int64
	limit   atomic.Int64
	level   atomic.Int64
}

// NewBudget returns a full budget of percent retries per 100 requests and the
// given burst. Values of 0 or less mean the defaults.
func NewBudget(percent, burst int) *Budget {
	if percent <= 0 {
		percent = DefaultPercent
	}
	if burst <= 0 {
		burst = DefaultBurst
	}
	b := &Budget{percent: int64(percent)}
	b.SetBurst(burst)
	b.level.Store(b.limit.Load())
	return b
}

// SetBurst changes the number of retries that may be saved up. What was saved
// beyond it is lost.
func (b *Budget) SetBurst(burst int) { b.limit.Store(int64(max(burst, 1)) * costOfRetry) }

// Request adds one request's share to the budget.
func (b *Budget) Request() {
	for {
		level := b.level.Load()
		next := min(level+b.percent, b.limit.Load())
		if next == level || b.level.CompareAndSwap(level, next) {
			return
		}
	}
}

// Take removes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		level := b.level.Load()
		saved := min(level, b.limit.Load())
		if saved < costOfRetry {
			return false
		}
		if b.level.CompareAndSwap(level, saved-costOfRetry) {
			return true
		}
	}
}

// Left returns the number of whole retries left.
func (b *Budget) Left() int { return int(min(b.level.Load(), b.limit.Load()) / costOfRetry) }
