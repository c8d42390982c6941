package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencyShare is the weight of a new sample in the moving average of the
	// time to the first token.
	latencyShare = 0.2
	// marksKept covers the age of evidence at the slowest rate of rebuilds.
	marksKept = 64
)

// Tracker counts what this node sent to one target and how fast it answered. Its
// methods other than those of the builder take no lock.
type Tracker struct {
	sent  atomic.Int64
	first atomic.Uint64
	// queued is the newest reported number of queued prompt tokens.
	queued atomic.Int64
	rate   atomic.Uint64

	// marks are counts at past moments; only the builder uses them.
	marks []mark
}

type mark struct {
	at   time.Time
	sent int64
}

// Add counts tokens (or requests to a plain server) that are being sent.
func (t *Tracker) Add(tokens int) { t.sent.Add(int64(tokens)) }

// Sent returns the count since the start.
func (t *Tracker) Sent() int64 { return t.sent.Load() }

// FirstToken records the time from sending to the first token.
func (t *Tracker) FirstToken(d time.Duration) {
	t.observeRate(d)
	for {
		old := t.first.Load()
		average := d.Seconds()
		if old != 0 {
			average = (1-latencyShare)*math.Float64frombits(old) + latencyShare*average
		}
		if t.first.CompareAndSwap(old, math.Float64bits(average)) {
			return
		}
	}
}

// Latency returns the moving average of the time to the first token in seconds,
// or 0 without samples.
func (t *Tracker) Latency() float64 { return math.Float64frombits(t.first.Load()) }

// mark remembers the count at now.
func (t *Tracker) mark(now time.Time) {
	if len(t.marks) == marksKept {
		t.marks = append(t.marks[:0], t.marks[1:]...)
	}
	t.marks = append(t.marks, mark{now, t.sent.Load()})
}

// sentBy returns the count at the newest mark that is not after at. Before the
// first mark it is 0, which counts too much rather than too little.
func (t *Tracker) sentBy(at time.Time) int64 {
	for i := len(t.marks) - 1; i >= 0; i-- {
		if !t.marks[i].at.After(at) {
			return t.marks[i].sent
		}
	}
	if len(t.marks) == marksKept {
		return t.marks[0].sent
	}
	return 0
}
