package limit

import (
	"sync"
	"time"
)

// demandHalfLife is the time in which the measured demand follows a change half
// way.
const demandHalfLife = 2 * time.Second

// bucket is the token bucket of one organisation at this node. A request is
// admitted while the level is positive and may take it below zero, so that a
// request larger than the burst is not refused for ever.
type bucket struct {
	mu sync.Mutex
	// rate is the refill in tokens per second; 0 means no limit.
	rate  float64
	burst float64
	level float64
	// asked counts the tokens asked for since the last demand update.
	asked float64
	// demand is the smoothed demand in tokens per second.
	demand  float64
	updated time.Time
	sampled time.Time
}

// newBucket returns a full bucket with the given limits.
func newBucket(rate, burst float64, now time.Time) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst, updated: now, sampled: now}
}

// setRate changes the refill and the burst. The level stays, cut to the new
// burst.
func (b *bucket) setRate(rate, burst float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.level = min(b.level, burst)
}

// take asks for tokens. When refused, wait is the time until the level is
// positive again.
func (b *bucket) take(tokens float64, now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.asked += tokens
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

// giveBack returns tokens that were taken but not used; a negative number takes
// more.
func (b *bucket) giveBack(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+tokens, b.burst)
}

// sampleDemand updates and returns the smoothed demand.
func (b *bucket) sampleDemand(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.sampled)
	if elapsed <= 0 {
		return b.demand
	}
	current := b.asked / elapsed.Seconds()
	weight := elapsed.Seconds() / (elapsed.Seconds() + demandHalfLife.Seconds())
	b.demand += weight * (current - b.demand)
	b.asked = 0
	b.sampled = now
	return b.demand
}

// refill adds the tokens that have accrued. The caller holds the lock.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.level = min(b.level+elapsed.Seconds()*b.rate, b.burst)
	b.updated = now
}
