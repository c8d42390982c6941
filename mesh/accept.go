package mesh

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
)

// acceptState records a state unless a newer one is known. The caller holds the
// lock.
func (m *Mesh) acceptState(s *State, now time.Time) {
	address, err := netip.ParseAddrPort(s.Node.PeerAddress)
	if err != nil || address == m.address {
		return
	}
	for _, other := range s.Known {
		m.introduce(other)
	}
	m.targets[address] = now
	known := m.at(address)
	silent := now.Sub(known.heardAt()) > silentAfter
	if !s.Node.follows(&known.Node, silent) && known.state != nil && !s.Node.follows(&known.state.Node, silent) {
		return
	}
	if s.Node.Boot != known.Node.Boot || s.Node.Count >= known.Node.Count {
		m.noteBoot(known, &s.Node)
		known.update(&s.Node, false, now)
	}
	known.state, known.stateAt, known.asks = s, now, s.Ask
}

// acceptSummary records what an aggregator tells. The caller holds the lock.
func (m *Mesh) acceptSummary(r *Summary, now time.Time) {
	address, err := netip.ParseAddrPort(r.From.PeerAddress)
	if err != nil || address == m.address {
		return
	}
	from := m.at(address)
	m.targets[address] = now
	if !from.acceptSum(r, now) {
		return
	}
	m.acceptMember(Member{Node: r.From}, &r.From, now)
	for _, other := range r.Members {
		m.acceptMember(other, &r.From, now)
	}
}

// acceptSum records the sum of a report and reports whether it was the newest.
func (m *member) acceptSum(r *Summary, now time.Time) bool {
	newest, at := &m.part, &m.partAt
	if r.Total {
		newest, at = &m.total, &m.totalAt
	}
	if old := *newest; old != nil && old.From.Boot == r.From.Boot && r.From.Count <= old.From.Count {
		return false
	}
	*newest, *at = r, now
	m.askedAt, m.avoidUntil = time.Time{}, time.Time{}
	return true
}

// acceptMember records what an aggregator tells of a node.
func (m *Mesh) acceptMember(other Member, from *Node, now time.Time) {
	address, err := netip.ParseAddrPort(other.Node.PeerAddress)
	if err != nil || address == m.address {
		return
	}
	known := m.at(address)
	same := known.Node.Boot == other.Node.Boot && known.Node.Count == other.Node.Count
	switch {
	case known.Node.Boot == 0 || other.Node.follows(&known.Node, now.Sub(known.heardAt()) > silentAfter):
		m.noteBoot(known, &other.Node)
		known.update(&other.Node, other.Gone, now)
	case same && other.Gone && !known.speaks(now):
		known.update(&other.Node, true, now)
	case !same:
		return
	}
	m.targets[address] = now
	known.reportedAt = now
	if from.FailureDomain == known.Node.FailureDomain {
		known.relayedAt = now
	}
}

// noteBoot logs a node that is heard of first.
func (m *Mesh) noteBoot(known *member, n *Node) {
	if known.Node.Boot != n.Boot {
		_ = level.Info(m.logger).Log("msg", "node heard", "peer", n.Name, "boot", n.Boot)
	}
}
