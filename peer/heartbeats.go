package peer

import (
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// maxWanted bounds the records asked for in one request. They are not part of
// the digest, because they travel only when a member is new or changed.
const maxWanted = 64

// heartbeatOverhead bounds the encoded size of a heartbeat: 8 bytes of record
// hash, 5 of counter and 3 of age.
const heartbeatOverhead = 16

// relayHeartbeats merges heartbeats that a third node passed on and returns the
// records that are unknown here.
func (r *roster) relayHeartbeats(h *peerpb.Heartbeats, sentAt, now time.Time) (unknown []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byRecord := make(map[uint64]*record, len(r.byNode))
	for _, known := range r.byNode {
		byRecord[recordHash(&known.member, known.leaving)] = known
	}
	own := recordHash(&r.self, r.leaving)
	counters, ages := h.GetCounter(), h.GetAgeMs()
	for i, id := range h.GetRecord() {
		if id == own || i >= len(counters) || i >= len(ages) {
			continue
		}
		heardAt := sentAt.Add(-decodeAge(ages[i]))
		if now.Sub(heardAt) >= r.deadAfter {
			continue
		}
		known, ok := byRecord[id]
		switch {
		case !ok && len(unknown) < maxWanted:
			unknown = append(unknown, id)
		case ok && counters[i] > known.member.Counter:
			known.member.Counter = counters[i]
			if heardAt.After(known.heardAt) {
				known.heardAt = heardAt
			}
		}
	}
	return unknown
}

// wanted selects the members whose records were asked for.
func wanted(members []fleet.MemberView, records []uint64) []fleet.MemberView {
	if len(records) == 0 {
		return nil
	}
	var selected []fleet.MemberView
	for i := range members {
		id := recordHash(&members[i].Member, members[i].State == fleet.NodeLeaving)
		if slices.Contains(records, id) && len(selected) < maxWanted {
			selected = append(selected, members[i])
		}
	}
	return selected
}

// appendHeartbeat adds a member's heartbeat to h.
func appendHeartbeat(h *peerpb.Heartbeats, v *fleet.MemberView, now time.Time) {
	h.Record = append(h.Record, recordHash(&v.Member, v.State == fleet.NodeLeaving))
	h.Counter = append(h.Counter, v.Counter)
	h.AgeMs = append(h.AgeMs, encodeAge(v.HeardAt, now))
}
