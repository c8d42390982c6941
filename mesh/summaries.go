package mesh

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

// summaryMessages returns the messages of an aggregator: the sum of its domain for
// the aggregators of other domains, and the sum of all other nodes for each node that
// wants summaries.
func (m *Mesh) summaryMessages(live []*member, now time.Time) []message {
	own := m.latestState.Node
	domainSummary := Summary{From: own, Sum: m.domainSum(live, now), Members: m.membersToReport(own.FailureDomain, false, m.reportedToDomains, now)}
	messages := m.appendSummary(nil, &domainSummary, m.remoteAggregators(live, now))
	m.reportedToDomains.record(domainSummary.Members, now)

	sum := m.localSum(live, now)
	total := Summary{From: own, Total: true,
		Members: append(m.peerAggregators(live, now), m.membersToReport(own.FailureDomain, true, m.reportedToNodes, now)...)}
	for _, other := range live {
		if !other.wantsSummary || !other.hasFreshState(now) {
			continue
		}
		total.Sum = sum
		if other.Node.FailureDomain == own.FailureDomain {
			total.Sum = sum.without(other.state)
		}
		messages = m.appendSummary(messages, &total, []netip.AddrPort{other.address})
	}
	m.reportedToNodes.record(total.Members, now)
	return messages
}

// peerAggregators returns the other aggregators of this domain. Summaries list them so
// that nodes that don't have them yet can choose the same aggregators as all others.
func (m *Mesh) peerAggregators(live []*member, now time.Time) []Member {
	var list []Member
	for _, a := range m.ownAggregators(live, now) {
		if a.address != m.address && len(list) < aggregatorsPerDomain {
			list = append(list, a.Member)
		}
	}
	return list
}

// appendSummary appends the messages of a summary. The summary's members are truncated
// to those that fit.
func (m *Mesh) appendSummary(messages []message, summary *Summary, recipients []netip.AddrPort) []message {
	parts, n, err := encodeSummary(*summary)
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "mesh summary not sent: encoding failed", "err", err)
		return messages
	}
	summary.Members = summary.Members[:n]
	for _, data := range parts {
		messages = append(messages, message{data, recipients})
	}
	return messages
}

// reportTimes maps members to the time when they were last listed to an audience.
type reportTimes map[netip.AddrPort]time.Time

// record records which members were listed, so that the next summaries list the others.
func (r reportTimes) record(reported []Member, now time.Time) {
	for i := range reported {
		if address, err := netip.ParseAddrPort(reported[i].Node.PeerAddress); err == nil {
			r[address] = now
		}
	}
}

// removeExpired removes the addresses that no longer belong to a member.
func (r reportTimes) removeExpired(ms *members) {
	for address := range r {
		if ms.byAddress[address] == nil {
			delete(r, address)
		}
	}
}

// remoteAggregators returns the addresses of the aggregators of other domains: those
// that this node chose, and those that sent a summary of their domain here.
func (m *Mesh) remoteAggregators(live []*member, now time.Time) []netip.AddrPort {
	responsive := func(a *member) bool { return now.Sub(a.domainSummaryAt) <= summaryTimeout }
	var addresses []netip.AddrPort
	for _, domain := range failureDomains(live) {
		if domain == m.latestState.Node.FailureDomain {
			continue
		}
		for _, a := range selectAggregators(aggregatorCandidates(domain, live, now), responsive) {
			a.expectSummary(now)
			addresses = append(addresses, a.address)
		}
	}
	for _, other := range live {
		if now.Sub(other.domainSummaryAt) <= stateLifetime && !slices.Contains(addresses, other.address) {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}
