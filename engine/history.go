package engine

import (
	"slices"
	"time"
)

const (
	// returnTime is how long instances are kept that a restored instance list lacks. Live
	// ones register again within about two seconds.
	returnTime = 2500 * time.Millisecond
	// rewriteTime is how long entries of a restored list are compared with the newer ones
	// known. In this time live instances write theirs again, and those of others expire.
	rewriteTime = 5 * time.Second
	// keepRemoved is how long it is remembered which instances were removed, and which
	// starts were replaced. It exceeds the age of the copies from which the platform's store
	// is restored.
	keepRemoved = 2 * time.Minute
	// maxWriteDelay exceeds the time for which the store may delay a write, and the interval
	// of the heartbeats with which a live instance replaces an older entry.
	maxWriteDelay = 10 * time.Second
	// maxConfirmInterval is the longest time between two confirmations of a list that the
	// store kept confirming meanwhile.
	maxConfirmInterval = 3 * time.Second
	// recheckInterval is the time between two merges while an entry is held back.
	recheckInterval = time.Second
)

// History merges the versions of the instance list. If the platform's store is restored from
// an older copy, the list shows entries that have been replaced or removed since, and lacks
// newer ones. A write that the store executes late shows an older entry, too. Entries of one
// instance are ordered by its start and its own count of them (see entry_order.go); an older
// entry than the one known is no news, nor is one that another writer has stored under the
// instance's name. Such an entry is held back. The one known is the wrong one if the store
// keeps confirming a list without it: a live instance replaces an older entry by its next
// heartbeat, and the entry of another one expires. It isn't safe for concurrent use.
type History struct {
	era uint64
	// known are the instances of the merged list; nil before the first one.
	known map[string]*Instance
	// records also hold instances that were removed from the list.
	records map[string]*record
	// restoredAt is when the list was first seen in the current era; zero in the first one.
	restoredAt time.Time
	// missing are instances that the list lacks since then.
	missing map[string]bool
	// confirmedSince and confirmedAt are the first and the last of the confirmations of the
	// list that followed each other closely; zero without any.
	confirmedSince, confirmedAt time.Time
}

// record is what is known of the entries of one instance.
type record struct {
	newest *Instance
	// startSeenAt is when the start of the newest entry was first seen.
	startSeenAt time.Time
	// replaced are the other starts of the instance that were listed lately.
	replaced []replacedStart
	// heldSince is since when the list has shown only entries that are held back; zero if it
	// shows the newest one.
	heldSince time.Time
	// removedAt is when the instance was removed from the merged list; zero while it is there.
	removedAt time.Time
}

// replacedStart is a start of an instance that isn't the newest one, and when that was found.
type replacedStart struct {
	startedMs int64
	at        time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{records: map[string]*record{}, missing: map[string]bool{}}
}

// Confirm tells that the store confirmed at the given time that the last version of the list
// is the current one. Without confirmations, entries are held back for as long as they are
// listed.
func (h *History) Confirm(at time.Time) {
	if h.confirmedAt.IsZero() || at.Sub(h.confirmedAt) > maxConfirmInterval {
		h.confirmedSince = at
	}
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
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
	comparing := !h.restoredAt.IsZero() && now.Before(h.restoredAt.Add(rewriteTime))
	next := make(map[string]*Instance, len(listed))
	holding := map[string]bool{}
	for _, in := range listed {
		r := h.records[in.ID]
		if r == nil {
			r = &record{newest: in, startSeenAt: now}
			h.records[in.ID] = r
		}
		if h.isNews(r, in, comparing, now) {
			r.accept(in, now)
		} else {
			r.hold(in, now)
			holding[in.ID] = true
		}
		if r.removedAt.IsZero() {
			next[in.ID] = r.newest
		}
	}
	h.updateMissing(next, restored, now)
	h.updateRecords(holding, now)
	h.known = next
	for _, in := range next {
		merged = append(merged, in)
	}
	return merged, h.nextChange(comparing, len(holding) > 0, now)
}

// updateMissing adds the instances to the next list that a restored one lacks for now, and
// records which others were removed.
func (h *History) updateMissing(next map[string]*Instance, restored bool, now time.Time) {
	for id, in := range h.known {
		switch {
		case next[id] != nil:
			delete(h.missing, id)
		case restored, h.missing[id] && now.Before(h.restoredAt.Add(returnTime)):
			h.missing[id], next[id] = true, in
		default:
			delete(h.missing, id)
			h.records[id].removedAt = now
		}
	}
}

// updateRecords forgets instances that were removed long ago, and since when entries have been
// held back that are no longer listed.
func (h *History) updateRecords(holding map[string]bool, now time.Time) {
	for id, r := range h.records {
		if !holding[id] {
			r.heldSince = time.Time{}
		}
		if !r.removedAt.IsZero() && now.Sub(r.removedAt) > keepRemoved {
			delete(h.records, id)
		}
	}
}

// nextChange returns when the merged list may change without a new version, or zero.
func (h *History) nextChange(comparing, holding bool, now time.Time) time.Time {
	var times []time.Time
	if len(h.missing) > 0 {
		times = append(times, h.restoredAt.Add(returnTime))
	}
	if comparing {
		times = append(times, h.restoredAt.Add(rewriteTime))
	}
	if holding && !h.confirmedAt.IsZero() {
		times = append(times, now.Add(recheckInterval))
	}
	if len(times) == 0 {
		return time.Time{}
	}
	return slices.MinFunc(times, time.Time.Compare)
}

// isNews reports whether a listed entry of an instance is as new as the newest one known, or
// shows that this one is wrong. comparing is true for a list that may be restored.
func (h *History) isNews(r *record, in *Instance, comparing bool, now time.Time) bool {
	if r.newest == in {
		return r.removedAt.IsZero() || !comparing
	}
	switch {
	case r.isHeldLong(h.confirmedSince, h.confirmedAt):
		return true
	case in.isOlderInStart(r.newest), in.lacksStart(r.newest), r.isOfEarlierStart(in, now):
		return false
	case comparing && r.removedAt.IsZero():
		return !in.isOlder(r.newest)
	case comparing:
		return r.newest.isOlder(in)
	}
	return true
}

// isHeldLong reports whether the list has shown only entries that are held back for longer
// than the store may delay a write, in a time in which it was confirmed.
func (r *record) isHeldLong(confirmedSince, confirmedAt time.Time) bool {
	if r.heldSince.IsZero() || confirmedAt.IsZero() {
		return false
	}
	since := r.heldSince
	if confirmedSince.After(since) {
		since = confirmedSince
	}
	return confirmedAt.Sub(since) >= maxWriteDelay
}

// isOfEarlierStart reports whether an entry is of a start that ended before the one of the
// newest entry. Starts can't be ordered by their times alone, as the clock of an instance may
// be set back, but one that was replaced doesn't come back. A start that wasn't seen ended
// earlier if it has written more than a new one can have. If the start of the newest entry
// has been known for longer than writes are delayed, no write of an earlier one is to come.
func (r *record) isOfEarlierStart(in *Instance, now time.Time) bool {
	if slices.ContainsFunc(r.replaced, func(s replacedStart) bool { return s.startedMs == in.StartedMs }) {
		return true
	}
	return in.StartedMs < r.newest.StartedMs && in.Sequence > maxNewSequence && now.Sub(r.startSeenAt) < maxWriteDelay
}

// accept makes a listed entry the newest one.
func (r *record) accept(in *Instance, now time.Time) {
	if old := r.newest.StartedMs; old != in.StartedMs {
		r.replaced = slices.DeleteFunc(r.replaced, func(s replacedStart) bool { return s.startedMs == in.StartedMs })
		r.replace(old, now)
		r.startSeenAt = now
	}
	r.newest, r.removedAt = in, time.Time{}
}

// hold records that the list shows an entry that is held back.
func (r *record) hold(in *Instance, now time.Time) {
	if r.heldSince.IsZero() {
		r.heldSince = now
	}
	if in.StartedMs != r.newest.StartedMs {
		r.replace(in.StartedMs, now)
	}
}

// replace records that a start isn't that of the newest entry, and forgets those that were
// replaced long ago.
func (r *record) replace(startedMs int64, now time.Time) {
	r.replaced = slices.DeleteFunc(r.replaced, func(s replacedStart) bool {
		return s.startedMs == startedMs || now.Sub(s.at) > keepRemoved
	})
	r.replaced = append(r.replaced, replacedStart{startedMs, now})
}
