package mesh

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

// summaries returns the messages of an aggregator: the sum of its domain to the
// aggregators of others, and to each node that asked the sum of all other nodes.
func (m *Mesh) summaries(living []*member, now time.Time) []message {
	own := m.latest.Node
	part := Summary{From: own, Sum: m.part(living, now), Members: m.reportable(own.FailureDomain, false, m.named, now)}
	messages := m.appendSummary(nil, &part, m.otherAggregators(living, now))
	m.noteNamed(part.Members, now)

	sum := m.localSum(living, now)
	total := Summary{From: own, Total: true,
		Members: append(m.fellows(living, now), m.reportable(own.FailureDomain, true, m.named, now)...)}
	for _, other := range living {
		if !other.asks || !other.speaks(now) {
			continue
		}
		total.Sum = sum
		if other.Node.FailureDomain == own.FailureDomain {
			total.Sum = sum.without(other.state)
		}
		messages = m.appendSummary(messages, &total, []netip.AddrPort{other.address})
	}
	m.noteNamed(total.Members, now)
	return messages
}

// fellows returns the other aggregators of this domain, for nodes that don't know
// them yet: all must tell the same ones.
func (m *Mesh) fellows(living []*member, now time.Time) []Member {
	var list []Member
	for _, a := range m.ownAggregators(living, now) {
		if a.address != m.address && len(list) < aggregatorsPerDomain {
			list = append(list, a.Member)
		}
	}
	return list
}

// appendSummary adds the message of a report, whose members are cut to those that
// fit.
func (m *Mesh) appendSummary(messages []message, r *Summary, to []netip.AddrPort) []message {
	data, n, err := encodeSummary(*r)
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "report not sent", "err", err)
		return messages
	}
	r.Members = r.Members[:n]
	return append(messages, message{data, to})
}

// noteNamed records which members were reported, so that others follow next.
func (m *Mesh) noteNamed(reported []Member, now time.Time) {
	for i := range reported {
		if address, err := netip.ParseAddrPort(reported[i].Node.PeerAddress); err == nil {
			m.named[address] = now
		}
	}
}

// otherAggregators returns the addresses of the aggregators of other domains: those
// chosen here, and those that chose this node.
func (m *Mesh) otherAggregators(living []*member, now time.Time) []netip.AddrPort {
	answers := func(a *member) bool { return now.Sub(a.partAt) <= answerTime }
	var addresses []netip.AddrPort
	for _, domain := range domainsOf(living) {
		if domain == m.latest.Node.FailureDomain {
			continue
		}
		for _, a := range aggregators(candidates(domain, living, now), answers) {
			a.asked(now)
			addresses = append(addresses, a.address)
		}
	}
	for _, other := range living {
		if now.Sub(other.partAt) <= silentAfter && !slices.Contains(addresses, other.address) {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}
