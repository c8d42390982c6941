package retry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// Backoff defaults.
const (
	DefaultBase = 20 * time.Millisecond
	DefaultMax  = time.Second
)

// Backoff is exponential backoff with full jitter: a uniform wait between 0 and
// a ceiling that doubles with each attempt. Full jitter spreads callers that
// failed at the same moment.
type Backoff struct {
	// Base is the ceiling after the first attempt; 0 means DefaultBase.
	Base time.Duration
	// Max bounds the ceiling; 0 means DefaultMax.
	Max time.Duration
}

// Ceiling returns the longest wait after the given attempt, counted from 1.
func (b Backoff) Ceiling(attempt int) time.Duration {
	base, limit := cmp.Or(b.Base, DefaultBase), cmp.Or(b.Max, DefaultMax)
	for i := 1; i < attempt && base < limit; i++ {
		base *= 2
	}
	return min(base, limit)
}

// Wait sleeps after the given attempt. It returns ctx's error if ctx ends first.
func (b Backoff) Wait(ctx context.Context, attempt int) error {
	if !wait.For(ctx, rand.N(b.Ceiling(attempt)+1)) {
		return ctx.Err()
	}
	return nil
}
