package limit

import (
	"sync"
	"time"
)

// demandHalfLife is the time after which the smoothed demand reflects half of a
// change.
const demandHalfLife = 2 * time.Second

// bucket is the token bucket of one organisation on this node. A request is
// admitted while the level is positive and may make it negative, so that a
// request larger than the burst is not refused for ever.
type bucket struct {
	mu sync.Mutex
	// rate is the refill rate in tokens per second; 0 means no limit.
	rate float64
	// burst is the capacity in tokens.
	burst float64
	// level is the number of tokens available; it may be negative.
	level float64
	// requested counts the tokens requested since sampledAt, refused ones too.
	requested float64
	// demand is the smoothed demand in tokens per second.
	demand     float64
	refilledAt time.Time
	sampledAt  time.Time
}

// newBucket returns a full bucket with the given limits.
func newBucket(rate, burst float64, now time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst, refilledAt: now, sampledAt: now}
}

// setRate changes the refill rate and the burst. The level is kept, limited to
// the new burst.
func (b *bucket) setRate(rate, burst float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.level = min(b.level, burst)
}

// take takes tokens and reports whether the request is admitted. If not, wait is
// the time until the level is positive again.
func (b *bucket) take(tokens float64, now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.requested += tokens
	if b.rate == 0 {
		return 0, true
	}
	if b.level <= 0 {
		seconds := (1 - b.level) / b.rate
		return time.Duration(seconds * float64(time.Second)), false
	}
	b.level -= tokens
	return 0, true
}

// refund adds tokens that were taken but not used; a negative number takes more.
func (b *bucket) refund(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+tokens, b.burst)
}

// sampleDemand updates the smoothed demand and returns it, in tokens per second.
func (b *bucket) sampleDemand(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.sampledAt)
	if elapsed <= 0 {
		return b.demand
	}
	current := b.requested / elapsed.Seconds()
	weight := elapsed.Seconds() / (elapsed.Seconds() + demandHalfLife.Seconds())
	b.demand += weight * (current - b.demand)
	b.requested = 0
	b.sampledAt = now
	return b.demand
}

// refill adds the tokens that have accrued since refilledAt. The caller must hold
// mu.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.level = min(b.level+elapsed.Seconds()*b.rate, b.burst)
	b.refilledAt = now
}
