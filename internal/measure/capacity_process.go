package measure

import (
	"runtime"
	"runtime/debug"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of live heap objects and goroutine stacks after
// a garbage collection.
func memoryInUse() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// allocations returns the number and bytes of this process's heap allocations so far.
func allocations() (count, bytes float64) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Mallocs), float64(m.TotalAlloc)
}

// timed calls f repeatedly for at least the given time and returns the mean time of
// one call.
func timed(atLeast time.Duration, f func()) time.Duration {
	f()
	started, n := time.Now(), 0
	for time.Since(started) < atLeast {
		f()
		n++
	}
	return time.Since(started) / time.Duration(max(n, 1))
}
