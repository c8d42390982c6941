package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether it passed before ctx ended.
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
