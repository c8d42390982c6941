package retry

import "sync/atomic"

// Defaults of Budget.
const (
	// DefaultPercent is the number of retries allowed per 100 requests.
	DefaultPercent = 10
	// DefaultBurst is the number of retries that may accumulate.
	DefaultBurst = 10

	// unitsPerRetry is the cost of one retry in the bucket's unit, a hundredth of
	// a retry.
	unitsPerRetry = 100
)

// Budget is a retry budget: a token bucket to which each request adds a fraction
// of a retry and from which each retry is taken. It prevents retries from
// multiplying the load when many attempts fail. It takes no locks.
type Budget struct {
	// unitsPerRequest is the number of hundredths of a retry that a request adds.
	unitsPerRequest int64
	// capacity and level are in hundredths of a retry.
	capacity atomic.Int64
	level    atomic.Int64
}

// NewBudget returns a full budget that allows percent retries per 100 requests
// and the given burst. Values of 0 or less mean the defaults.
func NewBudget(percent, burst int) *Budget {
	if percent <= 0 {
		percent = DefaultPercent
	}
	if burst <= 0 {
		burst = DefaultBurst
	}
	b := &Budget{unitsPerRequest: int64(percent)}
	b.SetBurst(burst)
	b.level.Store(b.capacity.Load())
	return b
}

// SetBurst changes the number of retries that may accumulate. Retries beyond it
// are lost.
func (b *Budget) SetBurst(burst int) { b.capacity.Store(int64(max(burst, 1)) * unitsPerRetry) }

// AddRequest adds the fraction of a retry that one request allows.
func (b *Budget) AddRequest() {
	for {
		level := b.level.Load()
		next := min(level+b.unitsPerRequest, b.capacity.Load())
		if next == level || b.level.CompareAndSwap(level, next) {
			return
		}
	}
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		level := b.level.Load()
		available := min(level, b.capacity.Load())
		if available < unitsPerRetry {
			return false
		}
		if b.level.CompareAndSwap(level, available-unitsPerRetry) {
			return true
		}
	}
}

// Remaining returns the number of whole retries in the budget.
func (b *Budget) Remaining() int { return int(min(b.level.Load(), b.capacity.Load()) / unitsPerRetry) }
