package forward

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// recheckInterval is the interval at which waiting requests are checked for a slot
// that another node has released.
const recheckInterval = 25 * time.Millisecond

// waiter is a request that waits for a slot.
type waiter struct {
	key      QueueKey
	assigned chan *Target // nil refuses the request
	avoid    map[string]bool
	// promptTokens is the length of the request's prompt in tokens.
	promptTokens int
	// once is true if the request must not be sent again if its target fails it.
	once bool
	// eventGap is the longest time between two events of a stream that is on time.
	eventGap time.Duration
	// trial is true if the assigned target is on trial.
	trial bool
	// estimate is what is expected at the assigned target.
	estimate slotEstimate
}

// wait waits for a slot. Once the response can't be on time any more, the request keeps
// waiting only if late requests are expected to get slots.
func (d *Dispatcher) wait(ctx context.Context, r SlotRequest, w *waiter) (*Slot, error) {
	limit := time.NewTimer(time.Until(r.Until))
	defer limit.Stop()
	late := time.NewTimer(max(time.Until(w.key.startBy()), 0))
	defer late.Stop()
	blocked, changed := r.blocked()
	for waiting := !blocked; waiting; {
		select {
		case <-changed:
			blocked, changed = r.blocked()
			waiting = !blocked
		case target := <-w.assigned:
			return d.newAssignedSlot(target, w, r.Pool)
		case <-late.C:
			waiting = r.Begun || d.canServeLate(r.Pool, time.Until(r.Until))
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	if target := d.cancelWait(r.Pool, w); target != nil {
		return d.newSlot(target, w), nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if permits := d.candidates(r.Pool).permitsFor(w); permits.throttled && ctx.Err() == nil {
		return nil, d.refuseThrottled(r.Pool, permits, time.Now())
	}
	d.trafficOf(r.Pool).recordRefusal(time.Now())
	if a := d.candidates(r.Pool).admission; a.shortage() {
		return nil, a.refusal()
	}
	slots, demand := d.slotsAndDemand(r.Pool, time.Now())
	return nil, fmt.Errorf("%w: demand of %.1f slots for %d available ones, %d more requests wait on this node", ErrFull, demand, slots, len(d.waiting[r.Pool]))
}

// canServeLate reports whether a request that is already late is expected to get a slot
// within the remaining time.
func (d *Dispatcher) canServeLate(p Pool, remaining time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots, demand := d.slotsAndDemand(p, time.Now())
	if d.candidates(p).admission.shortage() {
		return false
	}
	share := float64(slots) / float64(max(d.peers.Nodes(), 1))
	return d.trafficOf(p).lateWaitTime(demand, float64(slots), share, len(d.waiting[p])) <= remaining
}

// enqueue adds a waiter and starts the recheck goroutine of the pool if necessary. The
// caller holds the lock.
func (d *Dispatcher) enqueue(p Pool, w *waiter) {
	d.waiting[p] = append(d.waiting[p], w)
	if !d.rechecking[p] {
		d.rechecking[p] = true
		go d.recheck(p)
	}
}

// cancelWait removes a waiter from the queue, or returns the target that it was assigned
// in the meantime.
func (d *Dispatcher) cancelWait(p Pool, w *waiter) *Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := slices.Index(d.waiting[p], w); at >= 0 {
		d.waiting[p] = slices.Delete(d.waiting[p], at, at+1)
		return nil
	}
	return <-w.assigned
}

// recheck assigns slots that other nodes have released until no request waits. At most
// one goroutine runs it for each pool.
func (d *Dispatcher) recheck(p Pool) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		d.assignSlots(p)
		d.mu.Lock()
		idle := len(d.waiting[p]) == 0
		if idle {
			delete(d.rechecking, p)
		}
		d.mu.Unlock()
		if idle {
			return
		}
	}
}
