package peer

import (
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// maxWantedMembers limits the member records requested in one request. They do not
// count towards the size limit of a response, because they are only sent when a member
// is new or changed.
const maxWantedMembers = 64

// heartbeatEntryBytes bounds the encoded size of a heartbeat: 8 bytes of record
// hash, 5 of counter and 3 of age.
const heartbeatEntryBytes = 16

// mergeRelayedHeartbeats merges heartbeats passed on by a third node. It returns the
// hashes of unknown records, at most maxWantedMembers.
func (r *roster) mergeRelayedHeartbeats(h *peerpb.Heartbeats, sentAt, now time.Time) (unknown []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byRecord := make(map[uint64]*memberRecord, len(r.byNode))
	for _, known := range r.byNode {
		byRecord[recordHash(&known.member, known.leaving)] = known
	}
	own := recordHash(&r.self, r.leaving)
	counters, ages := h.GetCounter(), h.GetAgeMs()
	for i, id := range h.GetRecord() {
		if id == own || i >= len(counters) || i >= len(ages) {
			continue
		}
		heartbeatAt := sentAt.Add(-decodeAge(ages[i]))
		if now.Sub(heartbeatAt) >= r.deadAfter {
			continue
		}
		known, ok := byRecord[id]
		switch {
		case !ok && len(unknown) < maxWantedMembers:
			unknown = append(unknown, id)
		case ok && counters[i] > known.member.Counter:
			known.member.Counter = counters[i]
			if heartbeatAt.After(known.heartbeatAt) {
				known.heartbeatAt = heartbeatAt
			}
		}
	}
	return unknown
}

// wantedMembers returns the members whose records were requested, at most
// maxWantedMembers.
func wantedMembers(members []fleet.MemberView, records []uint64) []fleet.MemberView {
	if len(records) == 0 {
		return nil
	}
	var selected []fleet.MemberView
	for i := range members {
		id := recordHash(&members[i].Member, members[i].State == fleet.NodeLeaving)
		if slices.Contains(records, id) && len(selected) < maxWantedMembers {
			selected = append(selected, members[i])
		}
	}
	return selected
}

// appendHeartbeat appends a member's heartbeat to h.
func appendHeartbeat(h *peerpb.Heartbeats, v *fleet.MemberView, now time.Time) {
	h.Record = append(h.Record, recordHash(&v.Member, v.State == fleet.NodeLeaving))
	h.Counter = append(h.Counter, v.Counter)
	h.AgeMs = append(h.AgeMs, encodeAge(v.HeartbeatAt, now))
}
