package retry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// Defaults of Backoff.
const (
	// DefaultBaseDelay is the longest delay after the first attempt.
	DefaultBaseDelay = 20 * time.Millisecond
	// DefaultMaxDelay is the longest delay after any attempt.
	DefaultMaxDelay = time.Second
)

// Backoff is exponential backoff with full jitter: the delay is uniformly
// distributed between 0 and a ceiling that doubles with each attempt. Full jitter
// spreads the retries of callers that failed at the same time.
type Backoff struct {
	// Base is the ceiling after the first attempt; 0 means DefaultBaseDelay.
	Base time.Duration
	// Max limits the ceiling; 0 means DefaultMaxDelay.
	Max time.Duration
}

// Ceiling returns the longest delay after the given attempt, counted from 1.
func (b Backoff) Ceiling(attempt int) time.Duration {
	base, limit := cmp.Or(b.Base, DefaultBaseDelay), cmp.Or(b.Max, DefaultMaxDelay)
	for i := 1; i < attempt && base < limit; i++ {
		base *= 2
	}
	return min(base, limit)
}

// Wait sleeps for the delay after the given attempt. It returns ctx.Err() if ctx
// ends first.
func (b Backoff) Wait(ctx context.Context, attempt int) error {
	if !wait.For(ctx, rand.N(b.Ceiling(attempt)+1)) {
		return ctx.Err()
	}
	return nil
}
