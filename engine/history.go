package engine

import "time"

const (
	// returnTime is how long instances are kept that a restored instance list lacks. Live
	// ones register again within about two seconds.
	returnTime = 2500 * time.Millisecond
	// rewriteTime is how long entries of a restored list are compared with the newer ones
	// known. In this time live instances write theirs again, and those of others expire.
	rewriteTime = 5 * time.Second
	// keepRemoved is how long it is remembered which instances were removed. It exceeds the
	// age of the copies from which the platform's store is restored.
	keepRemoved = 2 * time.Minute
)

// History merges the versions of the instance list. If the platform's store is restored from
// an older copy, the list shows entries that have been replaced or removed since, and lacks
// newer ones. A write that the store executes late shows an older entry, too. Entries of one
// instance are ordered by its start and its own count of them; an older entry than the one
// known is no news, nor is one that another writer has stored under the instance's name.
// Without a restore, entries of different starts aren't compared, as the clock of an instance
// may be set back. It isn't safe for concurrent use.
type History struct {
	era   uint64
	known map[string]*Instance
	// removed are the last entries of instances that were removed from the list.
	removed map[string]removedInstance
	// restoredAt is when the list was first seen in the current era; zero in the first one.
	restoredAt time.Time
	// missing are instances that the list lacks since then.
	missing map[string]bool
}

type removedInstance struct {
	*Instance
	at time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{removed: map[string]removedInstance{}, missing: map[string]bool{}}
}

// Merge returns the instances that a version of the list shows, in an era of the store. The
// result may change without a new version at the returned time, unless that is zero.
func (h *History) Merge(era uint64, listed []*Instance, now time.Time) (merged []*Instance, again time.Time) {
	restored := h.known != nil && era != h.era
	h.era = era
	if restored {
		h.restoredAt = now
		clear(h.missing)
	}
	next := make(map[string]*Instance, len(listed))
	comparing := !h.restoredAt.IsZero() && now.Before(h.restoredAt.Add(rewriteTime))
	for _, in := range listed {
		if in = h.newest(in, comparing); in != nil {
			next[in.ID] = in
		}
	}
	for id, in := range h.known {
		switch {
		case next[id] != nil:
			delete(h.missing, id)
		case restored, h.missing[id] && now.Before(h.restoredAt.Add(returnTime)):
			h.missing[id], next[id] = true, in
		default:
			delete(h.missing, id)
			h.removed[id] = removedInstance{in, now}
		}
	}
	for id, r := range h.removed {
		if next[id] != nil || now.Sub(r.at) > keepRemoved {
			delete(h.removed, id)
		}
	}
	h.known = next
	for _, in := range next {
		merged = append(merged, in)
	}
	switch {
	case len(h.missing) > 0:
		again = h.restoredAt.Add(returnTime)
	case comparing:
		again = h.restoredAt.Add(rewriteTime)
	}
	return merged, again
}

// newest returns the newest of an entry and those known of the same instance, or nil if the
// instance has been removed since the entry was written. comparing is true for a list that
// may be restored.
func (h *History) newest(in *Instance, comparing bool) *Instance {
	noNews := func(old *Instance) bool {
		return in.isOlderInStart(old) || in.isForeign(old) || comparing && in.isOlder(old)
	}
	if old := h.known[in.ID]; old != nil {
		if noNews(old) {
			return old
		}
		return in
	}
	old, removed := h.removed[in.ID]
	if removed && (noNews(old.Instance) || comparing && !old.isOlder(in)) {
		return nil
	}
	return in
}

// isOlder reports whether an entry of the same instance was written before another one.
func (in *Instance) isOlder(other *Instance) bool {
	if in.StartedMs != other.StartedMs {
		return in.StartedMs < other.StartedMs
	}
	return in.Sequence < other.Sequence
}

// isOlderInStart reports whether an entry was written by the same start of the instance as
// another one, and before it. Entries that don't tell the start can't be compared, since a
// restart begins a new count.
func (in *Instance) isOlderInStart(other *Instance) bool {
	return in.StartedMs != 0 && in.StartedMs == other.StartedMs && in.Sequence < other.Sequence
}

// isForeign reports whether an entry, by what it lacks of an earlier one of the same instance,
// is of another writer. An instance tells its start in each entry or in none, and leaves its
// group by a command only, after which its count is another one.
func (in *Instance) isForeign(earlier *Instance) bool {
	if in.StartedMs == 0 {
		return earlier.StartedMs != 0
	}
	return in.StartedMs == earlier.StartedMs && in.Sequence == earlier.Sequence &&
		in.Membership.Group == "" && earlier.Membership.Group != ""
}
