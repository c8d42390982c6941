package mesh

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
)

// acceptState records a received state unless a newer one of the same node is
// known. The caller holds m.mu.
func (m *Mesh) acceptState(s *State, now time.Time) {
	address, err := netip.ParseAddrPort(s.Node.PeerAddress)
	if err != nil || address == m.address {
		return
	}
	for _, other := range s.KnownPeers {
		m.addPeer(other)
	}
	m.knownAddresses[address] = now
	known := m.getOrCreate(address)
	expired := now.Sub(known.lastUpdateAt()) > stateLifetime
	if !s.Node.supersedes(&known.Node, expired) && known.state != nil && !s.Node.supersedes(&known.state.Node, expired) {
		return
	}
	if s.Node.Boot != known.Node.Boot || s.Node.Count >= known.Node.Count {
		m.logNewBoot(known, &s.Node)
		known.update(&s.Node, false, now)
	} else if known.Gone {
		// The node learns from the next summary that it is listed as gone.
		known.changedAt = now
	}
	known.state, known.stateAt, known.wantsSummary = s, now, s.WantsSummary
}

// acceptSummary records an aggregator's summary, or a part of it, and the members listed
// in it. The caller holds m.mu.
func (m *Mesh) acceptSummary(summary *Summary, part Part, now time.Time) {
	address, err := netip.ParseAddrPort(summary.From.PeerAddress)
	if err != nil || address == m.address {
		return
	}
	from := m.getOrCreate(address)
	m.knownAddresses[address] = now
	parts := &from.domainParts
	if summary.Total {
		parts = &from.totalParts
	}
	if summary = parts.add(summary, part); summary == nil || !from.storeSummary(summary, now) {
		return
	}
	m.acceptMember(Member{Node: summary.From}, &summary.From, now)
	for _, other := range summary.Members {
		if err := other.Node.validate(); err != nil {
			m.reject("member of a summary ignored: invalid", address, err)
			continue
		}
		m.acceptMember(other, &summary.From, now)
	}
}

// reject counts and logs a message, or a part of it, that is dropped.
func (m *Mesh) reject(message string, from netip.AddrPort, err error) {
	m.rejected.Inc(1)
	m.rejectLimit.Do(func() {
		_ = level.Warn(m.logger).Log("msg", message, "from", from, "err", err)
	})
}

// Limits of the log lines about rejected messages, of which nodes send many a second.
const (
	rejectLinesAtFirst = 10
	rejectLineInterval = time.Second
)

// storeSummary stores a summary that m sent and reports whether it was newer than
// the stored one.
func (m *member) storeSummary(summary *Summary, now time.Time) bool {
	current, receivedAt := &m.domainSummary, &m.domainSummaryAt
	if summary.Total {
		current, receivedAt = &m.totalSummary, &m.totalSummaryAt
	}
	if old := *current; old != nil && old.From.Boot == summary.From.Boot && summary.From.Count <= old.From.Count {
		return false
	}
	*current, *receivedAt = summary, now
	m.awaitingSince, m.avoidedSince = time.Time{}, time.Time{}
	return true
}

// acceptMember records an aggregator's information about another node. Information
// that this node is gone is refuted by the higher count of its next state. The caller
// holds m.mu.
func (m *Mesh) acceptMember(other Member, from *Node, now time.Time) {
	address, err := netip.ParseAddrPort(other.Node.PeerAddress)
	if err != nil {
		return
	}
	if address == m.address {
		if other.Gone && other.Node.Boot == m.boot && other.Node.Count <= m.count+maxGoneAdvance {
			m.count = max(m.count, other.Node.Count)
		}
		return
	}
	known := m.getOrCreate(address)
	same := known.Node.Boot == other.Node.Boot && known.Node.Count == other.Node.Count
	switch {
	case known.Node.Boot == 0 || other.Node.supersedes(&known.Node, now.Sub(known.lastUpdateAt()) > stateLifetime):
		m.logNewBoot(known, &other.Node)
		known.update(&other.Node, other.Gone, now)
	case same && other.Gone && !known.hasFreshState(now):
		known.update(&other.Node, true, now)
	case !same:
		return
	}
	m.knownAddresses[address] = now
	known.reportedAt = now
	if from.FailureDomain == known.Node.FailureDomain {
		known.domainReportAt = now
	}
}

// logNewBoot logs a node that was restarted. New nodes are logged at debug level only:
// each node of a large deployment meets hundreds of them when it starts.
func (m *Mesh) logNewBoot(known *member, n *Node) {
	switch known.Node.Boot {
	case n.Boot:
	case 0:
		_ = level.Debug(m.logger).Log("msg", "new node", "peer", n.Name, "boot", n.Boot)
	default:
		_ = level.Info(m.logger).Log("msg", "node restarted", "peer", n.Name, "boot", n.Boot, "previous_boot", known.Node.Boot)
	}
}
