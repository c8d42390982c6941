package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// tombstoneRetention is how long the last heartbeat of a removed member is kept, so
// that a stale relayed record does not add the member again.
const tombstoneRetention = 60 * time.Second

// memberRecord is the state of one other member.
type memberRecord struct {
	member      fleet.Member
	leaving     bool
	heartbeatAt time.Time
	// lastRequest and lastResponse are the newest counters in requests and responses
	// from the member itself. They are separate because a request and a response may
	// overtake each other.
	lastRequest, lastResponse uint64
}

// tombstone is the last heartbeat of a removed member.
type tombstone struct {
	boot      string
	counter   uint64
	removedAt time.Time
}

// roster is one node's view of the membership. Callers pass in all times.
type roster struct {
	suspectAfter, deadAfter time.Duration

	mu         sync.Mutex
	self       fleet.Member
	leaving    bool
	superseded bool
	byNode     map[string]*memberRecord
	removed    map[string]tombstone
	// candidates maps the names of nodes that have sent a request but not yet responded
	// to one to their peer addresses.
	candidates map[string]string
}

func newRoster(config *Config) *roster {
	return &roster{
		suspectAfter: config.SuspectAfter, deadAfter: config.DeadAfter,
		self: config.Self, byNode: map[string]*memberRecord{},
		removed: map[string]tombstone{}, candidates: map[string]string{},
	}
}

// nextHeartbeat increments the heartbeat counter and returns this node's own record.
func (r *roster) nextHeartbeat() *peerpb.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Counter++
	return encodeMember(&r.self, r.leaving, 0)
}

// setLeaving marks this node as leaving and reports whether it was not marked before.
func (r *roster) setLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := !r.leaving
	r.leaving = true
	return changed
}

// acceptRequest checks the sender of a request. accepted is false if the sender is
// invalid or the request is older than the sender's known state. A request does not
// show when it was sent, so it never refreshes the sender's heartbeat. If newCandidate
// is true, the caller must contact the sender.
func (r *roster) acceptRequest(sender *peerpb.Member) (accepted, newCandidate bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sender.GetNode() == r.self.Node || !validBoot(sender.GetBoot()) || r.tombstoned(sender) {
		r.checkSuperseded(sender)
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

// acceptResponse checks the sender of a response and refreshes its heartbeat with
// sentAt, the time at which the request was sent. It reports whether the response was
// accepted.
func (r *roster) acceptResponse(responder *peerpb.Member, sentAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if responder.GetNode() == r.self.Node {
		r.checkSuperseded(responder)
		return false
	}
	if !validBoot(responder.GetBoot()) || r.tombstoned(responder) {
		return false
	}
	known, ok := r.byNode[responder.GetNode()]
	if ok && known.member.Boot == responder.GetBoot() &&
		responder.GetCounter() <= known.lastResponse {
		return false
	}
	if !r.update(responder, sentAt) {
		return false
	}
	r.byNode[responder.GetNode()].lastResponse = responder.GetCounter()
	delete(r.candidates, responder.GetNode())
	return true
}

// mergeRelayedMember merges a record passed on by a third node and reports whether the
// member was unknown.
func (r *roster) mergeRelayedMember(m *peerpb.Member, sentAt, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.GetNode() == r.self.Node {
		r.checkSuperseded(m)
		return false
	}
	heartbeatAt := sentAt.Add(-decodeAge(m.GetAgeMs()))
	if !validBoot(m.GetBoot()) || r.tombstoned(m) || now.Sub(heartbeatAt) >= r.deadAfter {
		return false
	}
	known, ok := r.byNode[m.GetNode()]
	if ok && known.member.Boot == m.GetBoot() && m.GetCounter() <= known.member.Counter {
		known.leaving = known.leaving || m.GetLeaving()
		return false
	}
	r.update(m, heartbeatAt)
	return !ok
}

// update merges a record into the roster. It returns false for a record of an older
// boot. The caller holds the lock.
func (r *roster) update(m *peerpb.Member, heartbeatAt time.Time) bool {
	known, ok := r.byNode[m.GetNode()]
	if ok && newerBoot(known.member.Boot, m.GetBoot()) {
		return false
	}
	if !ok || known.member.Boot != m.GetBoot() {
		r.byNode[m.GetNode()] = &memberRecord{
			member: decodeMember(m), leaving: m.GetLeaving(), heartbeatAt: heartbeatAt,
		}
		delete(r.removed, m.GetNode())
		return true
	}
	if m.GetCounter() > known.member.Counter {
		known.member = decodeMember(m)
	}
	known.leaving = known.leaving || m.GetLeaving()
	if heartbeatAt.After(known.heartbeatAt) {
		known.heartbeatAt = heartbeatAt
	}
	return true
}

// tombstoned reports whether m is not newer than the last heartbeat of a member that
// was removed. The caller holds the lock.
func (r *roster) tombstoned(m *peerpb.Member) bool {
	last, ok := r.removed[m.GetNode()]
	if !ok {
		return false
	}
	return newerBoot(last.boot, m.GetBoot()) ||
		(last.boot == m.GetBoot() && m.GetCounter() <= last.counter)
}

// checkSuperseded marks this node as superseded if m is the record of a later process
// with this node's name. The caller holds the lock.
func (r *roster) checkSuperseded(m *peerpb.Member) {
	if m.GetNode() == r.self.Node && validBoot(m.GetBoot()) && newerBoot(m.GetBoot(), r.self.Boot) {
		r.superseded = true
	}
}

// isSuperseded reports whether a later process with this node's name was detected.
func (r *roster) isSuperseded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.superseded
}

// removeDead replaces members without a heartbeat for deadAfter by tombstones and drops
// expired tombstones. The caller holds the lock.
func (r *roster) removeDead(now time.Time) {
	for node, known := range r.byNode {
		if now.Sub(known.heartbeatAt) >= r.deadAfter {
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

// members returns the members at now, including this node, sorted by name. It removes
// dead members first.
func (r *roster) members(now time.Time) []fleet.MemberView {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeDead(now)
	all := make([]fleet.MemberView, 0, len(r.byNode)+1)
	all = append(all, r.view(r.self, r.leaving, now, now))
	for _, known := range r.byNode {
		all = append(all, r.view(known.member, known.leaving, known.heartbeatAt, now))
	}
	slices.SortFunc(all, func(a, b fleet.MemberView) int { return cmp.Compare(a.Node, b.Node) })
	return all
}

// view returns a member with its state at now.
func (r *roster) view(m fleet.Member, leaving bool, heartbeatAt, now time.Time) fleet.MemberView {
	m.State = fleet.NodeServing
	switch {
	case leaving:
		m.State = fleet.NodeLeaving
	case now.Sub(heartbeatAt) >= r.suspectAfter:
		m.State = fleet.NodeSuspect
	}
	return fleet.MemberView{Member: m, HeartbeatAt: heartbeatAt}
}

// takeCandidates returns the addresses of the candidates and clears the candidates.
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
