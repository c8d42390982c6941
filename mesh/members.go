package mesh

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Timeouts and limits for the information about other nodes.
const (
	// stateLifetime is how long a state or summary is valid after it was received.
	// It spans several intervals; lost datagrams are rare.
	stateLifetime = 1200 * time.Millisecond
	// expireAfter is how long a node or address is kept, and sent to, without any
	// message from or about it.
	expireAfter = 30 * time.Second
	// reportLifetime is how long a node counts as alive after an aggregator listed it.
	// Aggregators list each of some hundred nodes again within that time, and list
	// at once those that are gone.
	reportLifetime = expireAfter
	// relayLifetime is how long a node of another failure domain is listed after an
	// aggregator of that domain last listed it.
	relayLifetime = 12 * time.Second
	// maxReported is the number of members that one summary lists at most.
	maxReported = 4
	// changePriorityTime is how long a changed node is listed before all others. A
	// change that hasn't been listed yet keeps its priority.
	changePriorityTime = time.Second
	// goneReportTime is how long aggregators list a node of their domain that is gone.
	goneReportTime = 10 * time.Second
	// summaryTimeout is how long an aggregator may take to send a summary before
	// another aggregator is used. It is several times the interval of summaries.
	summaryTimeout = 900 * time.Millisecond
	// minAvoidTime and maxAvoidTime bound how long an aggregator that sent no summary
	// isn't chosen. Between them it is chosen as soon as it is reported with a newer
	// state: one that is lost but not yet known to be would otherwise be tried again
	// and again.
	minAvoidTime = 3 * time.Second
	maxAvoidTime = 12 * time.Second
)

// member is the information held about another node.
type member struct {
	Member
	address netip.AddrPort
	// state is the newest state received from the node itself.
	state *State
	// stateAt is when state was received.
	stateAt time.Time
	// reportedAt is when a summary last listed the node.
	reportedAt time.Time
	// domainReportAt is when a summary from an aggregator in the node's own failure
	// domain last listed it.
	domainReportAt time.Time
	// changedAt is when the node was last found to be new, restarted, gone or back, or
	// changed whether it accepts requests.
	changedAt time.Time
	// awaitingSince is when the first state after the node's last summary was sent to
	// it as an aggregator; zero if no summary is awaited.
	awaitingSince time.Time
	// avoidedSince is when the node was last found not to send the summary that was
	// awaited; zero if it has sent one since.
	avoidedSince time.Time
	// avoidedState identifies the newest state that was known of the node at that time.
	avoidedState stateID
	// totalSummary is the newest summary from the node that covers all domains.
	totalSummary *Summary
	// domainSummary is the newest summary from the node that covers its own domain.
	domainSummary *Summary
	// totalSummaryAt is when totalSummary was received.
	totalSummaryAt time.Time
	// domainSummaryAt is when domainSummary was received.
	domainSummaryAt time.Time
	// totalParts and domainParts collect summaries that arrive in several parts.
	totalParts, domainParts assembly
	// observed are the observations received from the node, by scope.
	observed [scopeCount]receivedObservations
	// wantsSummary is true if the node uses this one as an aggregator.
	wantsSummary bool
}

// hasFreshState reports whether a state of the node itself was received within
// stateLifetime.
func (m *member) hasFreshState(now time.Time) bool {
	return m.state != nil && now.Sub(m.stateAt) <= stateLifetime
}

// alive reports whether the node sent its state recently, or an aggregator listed it
// as present within reportLifetime.
func (m *member) alive(now time.Time) bool {
	return m.hasFreshState(now) || (!m.Gone && !m.reportedAt.IsZero() && now.Sub(m.reportedAt) <= reportLifetime)
}

// lastUpdateAt returns the time of the last message from or about the node.
func (m *member) lastUpdateAt() time.Time {
	if m.reportedAt.After(m.stateAt) {
		return m.reportedAt
	}
	return m.stateAt
}

// eligible reports whether the node may be chosen as an aggregator. A node that
// didn't send a summary within summaryTimeout is avoided at first.
func (m *member) eligible(now time.Time) bool {
	if !m.awaitingSince.IsZero() && now.Sub(m.awaitingSince) > summaryTimeout {
		m.awaitingSince, m.avoidedSince, m.avoidedState = time.Time{}, now, m.Node.stateID()
	}
	avoided := now.Sub(m.avoidedSince)
	return avoided > maxAvoidTime || avoided > minAvoidTime && m.Node.stateID() != m.avoidedState
}

// expectSummary records that a state was sent to the node as an aggregator, so that
// it is expected to send a summary.
func (m *member) expectSummary(now time.Time) {
	if m.awaitingSince.IsZero() {
		m.awaitingSince = now
	}
}

// update replaces the information about the node.
func (m *member) update(n *Node, gone bool, now time.Time) {
	if m.Gone != gone || m.Node.Boot != n.Boot || m.Node.acceptsRequests() != n.acceptsRequests() || m.Node.Stranded != n.Stranded {
		m.changedAt = now
	}
	m.Node, m.Gone = *n, gone
}

// markGone marks the node as gone. The record gets a higher count than any state that
// the node can have sent until now, so that it replaces all records about the node,
// including newer ones than this node's. A node that isn't gone refutes it with a higher
// count.
func (m *member) markGone(now time.Time) {
	m.Gone, m.changedAt = true, now
	m.Node.Count += uint64((now.Sub(m.lastUpdateAt())+stateLifetime)/sendInterval) + 1
}

// members holds the other nodes. The caller of its methods holds Mesh.mu.
type members struct {
	byAddress map[netip.AddrPort]*member
	// knownAddresses maps addresses that may belong to nodes to the time when they were
	// added or a message from or about them was last received.
	knownAddresses map[netip.AddrPort]time.Time
	// shuffle is rand.Shuffle or, in tests, a seeded one.
	shuffle func(n int, swap func(i, j int))
}

func newMembers() members {
	return members{byAddress: map[netip.AddrPort]*member{}, knownAddresses: map[netip.AddrPort]time.Time{}, shuffle: rand.Shuffle}
}

// getOrCreate returns the member with an address. It adds one if there is none.
func (ms *members) getOrCreate(address netip.AddrPort) *member {
	m := ms.byAddress[address]
	if m == nil {
		m = &member{address: address}
		ms.byAddress[address] = m
	}
	return m
}

// liveMembers returns the members that are alive, sorted by name. In a small
// deployment all nodes send their state to all others, so one without a fresh state
// isn't alive.
func (ms *members) liveMembers(now time.Time) []*member {
	var list []*member
	for _, m := range ms.byAddress {
		if m.alive(now) {
			list = append(list, m)
		}
	}
	if 1+len(list) <= maxDirectNodes {
		list = slices.DeleteFunc(list, func(m *member) bool { return !m.hasFreshState(now) })
	}
	slices.SortFunc(list, func(a, b *member) int { return strings.Compare(a.Node.Name, b.Node.Name) })
	return list
}

// expire removes nodes and addresses without any message within expireAfter. The
// addresses in keep stay.
func (ms *members) expire(now time.Time, keep []string) {
	for address, m := range ms.byAddress {
		if now.Sub(m.lastUpdateAt()) > expireAfter {
			delete(ms.byAddress, address)
		}
	}
	for address, lastSeen := range ms.knownAddresses {
		if now.Sub(lastSeen) > expireAfter && !slices.Contains(keep, address.String()) {
			delete(ms.knownAddresses, address)
		}
	}
}

// sample returns up to n known addresses at random.
func (ms *members) sample(n int) []netip.AddrPort {
	list := slices.SortedFunc(maps.Keys(ms.knownAddresses), netip.AddrPort.Compare)
	ms.shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// maxGoneAdvance is the most by which the count of a record that a node is gone exceeds
// the node's own. Larger counts are invalid.
const maxGoneAdvance = uint64((expireAfter+stateLifetime)/sendInterval) + 1

// membersToReport returns the members to list in a summary: recently changed ones
// first, then those listed longest ago. An aggregator lists nodes of its own domain
// from the states that it received and, if includeOtherDomains is true, relays the
// nodes that aggregators of other domains listed of theirs.
func (ms *members) membersToReport(domain string, includeOtherDomains bool, lastReported reportTimes, now time.Time) []Member {
	type entry struct {
		*member
		// priority is 0 for a member with a recent or unlisted change and 1 for the others.
		priority   int
		lastListed time.Time
	}
	var list []entry
	for address, m := range ms.byAddress {
		own := m.Node.FailureDomain == domain
		changeAge := now.Sub(m.changedAt)
		switch {
		case own && !m.hasFreshState(now) && !(m.Gone && changeAge <= goneReportTime):
		case !own && (!includeOtherDomains || now.Sub(m.domainReportAt) > relayLifetime):
		default:
			priority := 1
			if changeAge <= changePriorityTime || lastReported[address].Before(m.changedAt) {
				priority = 0
			}
			list = append(list, entry{m, priority, lastReported[address]})
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.lastListed.Compare(b.lastListed), a.address.Compare(b.address))
	})
	reported := make([]Member, min(len(list), maxReported))
	for i := range reported {
		reported[i] = list[i].Member
	}
	return reported
}
