package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// tombstoneRetention is how long a removed member's last heartbeat is
// remembered, so that a stale relayed record does not bring it back.
const tombstoneRetention = 60 * time.Second

// record is what is known of one other member.
type record struct {
	member  fleet.Member
	leaving bool
	heardAt time.Time
	// lastRequest and lastResponse are the newest counters of messages that
	// came from the member itself. They are kept apart because a request and a
	// response may overtake each other.
	lastRequest, lastResponse uint64
}

// tombstone is the last heartbeat of a removed member.
type tombstone struct {
	boot      string
	counter   uint64
	removedAt time.Time
}

// roster is the membership known to one node. All times are passed in.
type roster struct {
	suspectAfter, deadAfter time.Duration

	mu         sync.Mutex
	self       fleet.Member
	leaving    bool
	superseded bool
	byNode     map[string]*record
	removed    map[string]tombstone
	// candidates maps nodes that sent a request but have not answered one yet
	// to their peer addresses.
	candidates map[string]string
}

func newRoster(config *Config) *roster {
	return &roster{
		suspectAfter: config.SuspectAfter, deadAfter: config.DeadAfter,
		self: config.Self, byNode: map[string]*record{},
		removed: map[string]tombstone{}, candidates: map[string]string{},
	}
}

// heartbeat counts up and returns this node's own record.
func (r *roster) heartbeat() *peerpb.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Counter++
	return encodeMember(&r.self, r.leaving, 0)
}

// setLeaving marks this node as leaving. It reports whether that is new.
func (r *roster) setLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := !r.leaving
	r.leaving = true
	return changed
}

// acceptRequest checks the sender of a request. accepted=false means that the
// message is older than what is known. A request proves no time, so it never
// refreshes the sender's heartbeat; stranger=true asks the caller to contact it.
func (r *roster) acceptRequest(sender *peerpb.Member) (accepted, stranger bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sender.GetNode() == r.self.Node || !validBoot(sender.GetBoot()) || r.buried(sender) {
		r.noteOwnRecord(sender)
		return false, false
	}
	known, ok := r.byNode[sender.GetNode()]
	if !ok || newerBoot(sender.GetBoot(), known.member.Boot) {
		_, waiting := r.candidates[sender.GetNode()]
		r.candidates[sender.GetNode()] = sender.GetPeerAddress()
		return true, !waiting
	}
	if known.member.Boot != sender.GetBoot() || sender.GetCounter() <= known.lastRequest {
		return false, false
	}
	known.lastRequest = sender.GetCounter()
	known.leaving = known.leaving || sender.GetLeaving()
	return true, false
}

// acceptResponse checks the responder of a response and refreshes its heartbeat
// as of sentAt, the moment the request was sent.
func (r *roster) acceptResponse(responder *peerpb.Member, sentAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if responder.GetNode() == r.self.Node {
		r.noteOwnRecord(responder)
		return false
	}
	if !validBoot(responder.GetBoot()) || r.buried(responder) {
		return false
	}
	known, ok := r.byNode[responder.GetNode()]
	if ok && known.member.Boot == responder.GetBoot() &&
		responder.GetCounter() <= known.lastResponse {
		return false
	}
	if !r.refresh(responder, sentAt) {
		return false
	}
	r.byNode[responder.GetNode()].lastResponse = responder.GetCounter()
	delete(r.candidates, responder.GetNode())
	return true
}

// relay merges a record that a third node passed on. It reports whether the
// member was unknown.
func (r *roster) relay(m *peerpb.Member, sentAt, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.GetNode() == r.self.Node {
		r.noteOwnRecord(m)
		return false
	}
	heardAt := sentAt.Add(-decodeAge(m.GetAgeMs()))
	if !validBoot(m.GetBoot()) || r.buried(m) || now.Sub(heardAt) >= r.deadAfter {
		return false
	}
	known, ok := r.byNode[m.GetNode()]
	if ok && known.member.Boot == m.GetBoot() && m.GetCounter() <= known.member.Counter {
		known.leaving = known.leaving || m.GetLeaving()
		return false
	}
	r.refresh(m, heardAt)
	return !ok
}

// refresh stores a newer record; the caller holds the lock. It returns false
// for a record of an older boot.
func (r *roster) refresh(m *peerpb.Member, heardAt time.Time) bool {
	known, ok := r.byNode[m.GetNode()]
	if ok && newerBoot(known.member.Boot, m.GetBoot()) {
		return false
	}
	if !ok || known.member.Boot != m.GetBoot() {
		r.byNode[m.GetNode()] = &record{
			member: decodeMember(m), leaving: m.GetLeaving(), heardAt: heardAt,
		}
		delete(r.removed, m.GetNode())
		return true
	}
	if m.GetCounter() > known.member.Counter {
		known.member = decodeMember(m)
	}
	known.leaving = known.leaving || m.GetLeaving()
	if heardAt.After(known.heardAt) {
		known.heardAt = heardAt
	}
	return true
}

// buried reports whether m is no newer than the heartbeat with which its node
// was removed; the caller holds the lock.
func (r *roster) buried(m *peerpb.Member) bool {
	last, ok := r.removed[m.GetNode()]
	if !ok {
		return false
	}
	return newerBoot(last.boot, m.GetBoot()) ||
		(last.boot == m.GetBoot() && m.GetCounter() <= last.counter)
}

// noteOwnRecord detects that a later process uses this node's name; the caller
// holds the lock.
func (r *roster) noteOwnRecord(m *peerpb.Member) {
	if m.GetNode() == r.self.Node && validBoot(m.GetBoot()) && newerBoot(m.GetBoot(), r.self.Boot) {
		r.superseded = true
	}
}

// isSuperseded reports whether a newer boot of this node exists.
func (r *roster) isSuperseded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.superseded
}

// bury removes members that were silent for deadAfter; the caller holds the
// lock.
func (r *roster) bury(now time.Time) {
	for node, known := range r.byNode {
		if now.Sub(known.heardAt) >= r.deadAfter {
			r.removed[node] = tombstone{known.member.Boot, known.member.Counter, now}
			delete(r.byNode, node)
		}
	}
	for node, last := range r.removed {
		if now.Sub(last.removedAt) >= tombstoneRetention {
			delete(r.removed, node)
		}
	}
}

// members returns the live members at now, this node included, sorted by name.
func (r *roster) members(now time.Time) []fleet.MemberView {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bury(now)
	all := make([]fleet.MemberView, 0, len(r.byNode)+1)
	all = append(all, r.view(r.self, r.leaving, now, now))
	for _, known := range r.byNode {
		all = append(all, r.view(known.member, known.leaving, known.heardAt, now))
	}
	slices.SortFunc(all, func(a, b fleet.MemberView) int { return cmp.Compare(a.Node, b.Node) })
	return all
}

// view derives a member's state.
func (r *roster) view(m fleet.Member, leaving bool, heardAt, now time.Time) fleet.MemberView {
	m.State = fleet.NodeServing
	switch {
	case leaving:
		m.State = fleet.NodeLeaving
	case now.Sub(heardAt) >= r.suspectAfter:
		m.State = fleet.NodeSuspect
	}
	return fleet.MemberView{Member: m, HeardAt: heardAt}
}

// takeCandidates returns and forgets the addresses of nodes to contact.
func (r *roster) takeCandidates() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := make([]string, 0, len(r.candidates))
	for _, address := range r.candidates {
		addresses = append(addresses, address)
	}
	clear(r.candidates)
	return addresses
}
