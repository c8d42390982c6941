// Package suspend tells for how long the machine has been suspended. The clock behind
// time.Now doesn't count that time, so a duration that other machines measure may be over
// although it isn't by this clock.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns the time for which the machine has been suspended since it booted, or 0 if
// the clocks can't be read. Only the difference between two calls has a meaning to others.
func Total() time.Duration {
	var withSuspension, without unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &withSuspension) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &without) != nil {
		return 0
	}
	return time.Duration(withSuspension.Nano() - without.Nano())
}
