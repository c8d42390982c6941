package memory

import (
	"cmp"
	"slices"
	"time"
)

// Owner is for whom memory is held. Empty fields don't count.
type Owner struct{ Organisation, Address string }

// partyGroup is the group of organisations or of addresses with holds of a kind, and partyKey
// one of them. Each may hold an equal share of the kind's memory while others wait.
type (
	partyGroup struct {
		kind      Kind
		addresses bool
	}
	partyKey struct {
		partyGroup
		name string
	}
)

// party is what an organisation or address holds.
type party struct {
	bytes int64
	holds int
}

// Hold is the memory for one body or response. Its methods aren't for concurrent use, except
// that it may be revoked at any time.
type Hold struct {
	budget *Budget
	kind   Kind
	owner  Owner
	// onRevoke makes the user of the memory release it soon. It must not block.
	onRevoke func()

	// The fields below are guarded by budget.mu.
	order uint64
	bytes int64
	// expected is the number of bytes that the hold is to have at last; 0 means unknown.
	expected   int64
	registered bool
	// revocable is true while the memory may be given up for the sake of others.
	revocable, revoked, waiting bool
	advancedAt                  time.Time
}

// waiter is a call of Acquire that waits.
type waiter struct {
	hold  *Hold
	bytes int64
	// ready receives nil once the bytes were taken, or ErrRevoked.
	ready chan error
}

// NewHold returns a hold without memory. It may be revoked: onRevoke is called then, and has
// to make the user release it.
func (b *Budget) NewHold(kind Kind, owner Owner, onRevoke func()) *Hold {
	return &Hold{budget: b, kind: kind, owner: owner, onRevoke: onRevoke, revocable: true}
}

func (h *Hold) keys() []partyKey {
	keys := make([]partyKey, 0, 2)
	if h.owner.Organisation != "" {
		keys = append(keys, partyKey{partyGroup{h.kind, false}, h.owner.Organisation})
	}
	if h.owner.Address != "" {
		keys = append(keys, partyKey{partyGroup{h.kind, true}, h.owner.Address})
	}
	return keys
}

// register counts the hold for its parties.
func (h *Hold) register() {
	if h.registered {
		return
	}
	b := h.budget
	b.started++
	h.registered, h.order = true, b.started
	b.holds[h] = struct{}{}
	for _, key := range h.keys() {
		p := b.parties[key]
		if p == nil {
			p = &party{}
			b.parties[key] = p
			b.groups[key.partyGroup]++
		}
		p.holds++
	}
}

// take adds bytes to the hold.
func (h *Hold) take(bytes int64) {
	if h.bytes == 0 {
		h.budget.expected[h.kind] += h.expected
	}
	h.bytes += bytes
	h.budget.used[h.kind] += bytes
	for _, key := range h.keys() {
		h.budget.parties[key].bytes += bytes
	}
	h.advancedAt = h.budget.now()
}

// exceedsShare reports whether a party of the hold has more than an equal share of the memory
// with more bytes.
func (h *Hold) exceedsShare(more int64) bool {
	b := h.budget
	for _, key := range h.keys() {
		if n := b.groups[key.partyGroup]; n > 1 && b.parties[key].bytes+more > b.limits[h.kind]/n {
			return true
		}
	}
	return false
}

// relieveInterval is the time between two attempts to make room for a call that waits.
const relieveInterval = 50 * time.Millisecond

const (
	// overcommitPart and overcommitWhole bound the expected bytes of all holds of a kind, as a
	// part of its memory: bodies that arrive together have half of their bytes on average. With
	// more of them, most would be refused after some of their bytes had been received.
	overcommitPart, overcommitWhole = 2, 1
	// largePart divides the memory of a kind; holds that expect at most the quotient begin
	// regardless of the others.
	largePart = 64
)

// Expect sets the number of bytes that the hold is to have at last. It decides whether the hold
// may begin beside others, and takes no memory.
func (h *Hold) Expect(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.registered {
		h.expected = bytes
	}
}

// mayTake reports whether there are bytes left for the hold.
func (h *Hold) mayTake(bytes int64) bool {
	b := h.budget
	if h.bytes == 0 && h.expected > b.limits[h.kind]/largePart &&
		b.expected[h.kind] > 0 && b.expected[h.kind]+h.expected > b.limits[h.kind]/overcommitWhole*overcommitPart {
		return false
	}
	fits, _ := b.fits(h.kind, bytes)
	return fits
}

// Acquire takes bytes and waits for them as long as patience allows.
func (h *Hold) Acquire(bytes int64, patience time.Duration) error {
	b := h.budget
	b.mu.Lock()
	if h.revoked {
		b.mu.Unlock()
		return ErrRevoked
	}
	h.register()
	if len(b.waiters) == 0 && h.mayTake(bytes) {
		h.take(bytes)
		b.mu.Unlock()
		return nil
	}
	if patience <= 0 || len(b.waiters) >= b.maxWaiters {
		b.metrics.refused.Inc(1)
		b.mu.Unlock()
		return ErrNoMemory
	}
	w := &waiter{h, bytes, make(chan error, 1)}
	h.waiting = true
	b.waiters = append(b.waiters, w)
	b.metrics.waited.Inc(1)
	b.grant()
	b.relieve()
	b.mu.Unlock()
	return w.wait(patience)
}

// wait waits until the bytes were taken.
func (w *waiter) wait(patience time.Duration) error {
	b := w.hold.budget
	timeout := time.NewTimer(patience)
	defer timeout.Stop()
	ticker := time.NewTicker(relieveInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-w.ready:
			return err
		case <-ticker.C:
			b.mu.Lock()
			b.relieve()
			b.mu.Unlock()
		case <-timeout.C:
			b.mu.Lock()
			defer b.mu.Unlock()
			select {
			case err := <-w.ready:
				return err
			default:
			}
			b.metrics.refused.Inc(1)
			b.leave(w, ErrNoMemory)
			return ErrNoMemory
		}
	}
}

// leave ends the wait of a call.
func (b *Budget) leave(w *waiter, err error) {
	b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
	w.hold.waiting = false
	w.ready <- err
}

// grant gives free bytes to the calls that wait.
func (b *Budget) grant() {
	for len(b.waiters) > 0 {
		w := b.first()
		if !w.hold.mayTake(w.bytes) {
			return
		}
		w.hold.take(w.bytes)
		b.leave(w, nil)
	}
}

// first returns the call that is next: of a party within its share, and then of the hold with
// most bytes. A body that is nearly complete frees memory soonest, and bodies that all wait
// for each other would never be complete.
func (b *Budget) first() *waiter {
	return slices.MinFunc(b.waiters, func(x, y *waiter) int {
		return cmp.Or(compareBool(x.hold.exceedsShare(x.bytes), y.hold.exceedsShare(y.bytes)),
			cmp.Compare(y.hold.bytes, x.hold.bytes), cmp.Compare(x.hold.order, y.hold.order))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// relieve revokes a hold if a call waits for its bytes: one that doesn't advance, or one of a
// party that exceeds its share while the one that waits doesn't.
func (b *Budget) relieve() {
	if len(b.waiters) == 0 {
		return
	}
	needed := int64(0)
	for _, w := range b.waiters {
		needed += w.bytes
	}
	if b.revoked >= needed {
		return
	}
	next := b.first()
	_, ownLimit := b.fits(next.hold.kind, next.bytes)
	now := b.now()
	var stalled, excessive *Hold
	for h := range b.holds {
		if h == next.hold || !h.revocable || h.bytes == 0 || (ownLimit && h.kind != next.hold.kind) {
			continue
		}
		if !h.waiting && now.Sub(h.advancedAt) >= stallTime(h.kind) && (stalled == nil || h.advancedAt.Before(stalled.advancedAt)) {
			stalled = h
		}
		if h.exceedsShare(0) && (excessive == nil || h.order > excessive.order) {
			excessive = h
		}
	}
	switch {
	case stalled != nil:
		b.revoke(stalled)
	case excessive != nil && !next.hold.exceedsShare(next.bytes):
		b.revoke(excessive)
	}
}

func stallTime(kind Kind) time.Duration {
	if kind == Responses {
		return responseStall
	}
	return bodyStall
}

// revoke gives a hold up. Its bytes count until its user releases them.
func (b *Budget) revoke(h *Hold) {
	h.revoked, h.revocable = true, false
	b.revoked += h.bytes
	b.metrics.revoked.Inc(1)
	for _, w := range b.waiters {
		if w.hold == h {
			b.leave(w, ErrRevoked)
			break
		}
	}
	go h.onRevoke()
}

// Advance records progress.
func (h *Hold) Advance() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.advancedAt = h.budget.now()
}

// SetRevocable sets whether the memory may be given up. It returns false if it was already.
func (h *Hold) SetRevocable(revocable bool) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.revoked {
		return false
	}
	h.revocable, h.advancedAt = revocable, h.budget.now()
	return true
}

// Revoked reports whether the memory was given up.
func (h *Hold) Revoked() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.revoked
}

// Release gives the memory back. The hold may be used again unless it was revoked.
func (h *Hold) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.registered {
		return
	}
	if h.revoked {
		b.revoked -= h.bytes
	}
	if h.bytes > 0 {
		b.expected[h.kind] -= h.expected
	}
	b.used[h.kind] -= h.bytes
	for _, key := range h.keys() {
		p := b.parties[key]
		p.bytes -= h.bytes
		if p.holds--; p.holds == 0 {
			delete(b.parties, key)
			if b.groups[key.partyGroup]--; b.groups[key.partyGroup] == 0 {
				delete(b.groups, key.partyGroup)
			}
		}
	}
	h.bytes, h.registered = 0, false
	delete(b.holds, h)
	b.grant()
}

// Shrink gives back all but a number of bytes.
func (h *Hold) Shrink(bytes int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if excess := h.bytes - bytes; excess > 0 {
		if bytes == 0 {
			b.expected[h.kind] -= h.expected
		}
		if h.revoked {
			b.revoked -= excess
		}
		h.take(-excess)
		b.grant()
	}
}
