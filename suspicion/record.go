package suspicion

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memory is the time constant with which outcomes of requests are forgotten.
	memory = 2 * time.Second
	// outageMemory is the time constant with which successive failures are forgotten.
	outageMemory = time.Second
	// negligible is the number of failures below which a server counts as sound.
	negligible = 0.05
)

// Evidence is what one node has observed of one server. Its zero value is that of a sound
// server.
type Evidence struct {
	// Answered and Failed are the requests that the server has answered and failed; older ones
	// count less.
	Answered, Failed float64
	// Streak is the weight of the failures since the server last began to answer a request.
	Streak float64
	// Hold is Gone or Silent while the server gets no requests for that reason, or None.
	Hold Kind
	// Cause is the reason of the last hold until the server shows a sign of life, or None.
	Cause Kind
}

// Record is the evidence of this node about one server. Its zero value is that of a sound
// server. It is safe for concurrent use.
type Record struct {
	// doubted is true if the evidence may differ from that of a sound server. It saves the
	// lock on the path of requests.
	doubted atomic.Bool
	// untested is true if the evidence has a cause of a hold.
	untested atomic.Bool

	mu        sync.Mutex
	evidence  Evidence
	updatedAt time.Time
	holdUntil time.Time
}

// Failed records that the server failed a request. It reports whether a hold begins.
func (r *Record) Failed(k Kind, now time.Time) bool {
	if k == None {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.doubted.Store(true)
	if k.holds() {
		begins := r.evidence.Hold == None
		r.evidence.Hold, r.evidence.Cause, r.holdUntil = k, k, now.Add(holdDuration)
		r.untested.Store(true)
		return begins
	}
	r.evidence.Failed++
	r.evidence.Streak += k.outage()
	return false
}

// Answered records a complete response of the server.
func (r *Record) Answered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.evidence.Answered++
	r.evidence.Streak = 0
	r.endHold()
}

// Began records that the server has begun to answer a request.
func (r *Record) Began(now time.Time) {
	if !r.doubted.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.evidence.Streak = 0
	r.endHold()
}

// Progressed records an event of a stream. It shows that the server isn't silent, but not that
// it accepts further requests.
func (r *Record) Progressed() {
	if !r.untested.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evidence.Cause != Gone {
		r.endHold()
	}
}

// Withdraw removes all failures: the links of this node had failed, and not the server.
func (r *Record) Withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Failed, r.evidence.Streak = 0, 0
	r.endHold()
}

// endHold ends a hold. The caller holds the lock.
func (r *Record) endHold() {
	r.evidence.Hold, r.evidence.Cause = None, None
	r.untested.Store(false)
}

// Doubted reports whether the server may be other than sound, at little cost.
func (r *Record) Doubted() bool { return r.doubted.Load() }

// Held reports whether the server gets no requests at the given time.
func (r *Record) Held(now time.Time) bool {
	if !r.untested.Load() {
		return false
	}
	return r.Evidence(now).Hold != None
}

// Evidence returns the evidence at the given time.
func (r *Record) Evidence(now time.Time) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	if r.evidence.Failed < negligible && r.evidence.Cause == None {
		r.doubted.Store(false)
	}
	return r.evidence
}

// decay reduces the counts by the time since the last update. The caller holds the lock.
func (r *Record) decay(now time.Time) {
	if passed := now.Sub(r.updatedAt); passed > 0 {
		left := math.Exp(-passed.Seconds() / memory.Seconds())
		r.evidence.Answered *= left
		r.evidence.Failed *= left
		r.evidence.Streak *= math.Exp(-passed.Seconds() / outageMemory.Seconds())
		r.updatedAt = now
	}
	if !now.Before(r.holdUntil) {
		r.evidence.Hold = None
	}
}
