package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done, and reports whether d passed first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
