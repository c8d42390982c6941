package mesh

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// randomTargets is the number of random nodes that receive the state in addition
	// to the aggregators, so that partitioned groups of nodes find each other again.
	randomTargets = 1
	// fallbackTargets is the number of random nodes that receive the state as if they
	// were aggregators while no aggregator sends summaries.
	fallbackTargets = 6
	// convergenceTime is the time within which all nodes of a failure domain choose
	// the same aggregators.
	convergenceTime = 3 * time.Second
)

// prepare publishes a new view and returns the messages of a round.
func (m *Mesh) prepare(state State, now time.Time) []message {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latestState = &state
	m.expire(now, m.cfg.Seeds)
	m.reportedToDomains.removeExpired(&m.members)
	m.reportedToNodes.removeExpired(&m.members)
	live := m.liveMembers(now)
	local := m.localSum(live, now)
	m.markGone(live, local, now)
	m.publish(live, local, now)
	var messages []message
	if 1+len(live) <= maxDirectNodes {
		// A node that receives no states requests summaries from all known addresses.
		isolated := !slices.ContainsFunc(live, func(other *member) bool { return other.hasFreshState(now) })
		messages = m.stateMessages(state, isolated, m.sample(len(m.knownAddresses)))
	} else {
		messages = m.stateMessagesToAggregators(state, live, now)
	}
	var stateRecipients []netip.AddrPort
	if len(messages) > 0 {
		stateRecipients = messages[0].recipients
	}
	aggregator := m.isAggregator(live, now)
	if aggregator {
		messages = append(messages, m.summaryMessages(live, now)...)
	}
	messages = append(messages, m.noticeMessages(messages)...)
	return append(messages, m.observationMessages(stateRecipients, live, aggregator, now)...)
}

// markGone marks the nodes of this domain that no longer send their state here as
// gone. Nodes that used this aggregator are marked at once. The others are marked only
// after convergenceTime as a chosen aggregator, when all nodes have had time to choose
// it, and only if no other aggregator's sum covers more nodes of the domain: then the
// nodes chose that one instead.
func (m *Mesh) markGone(live []*member, local *Sum, now time.Time) {
	if !m.isChosen(live, now) {
		m.chosenSince = time.Time{}
		return
	}
	if m.chosenSince.IsZero() {
		m.chosenSince = now
	}
	own := m.latestState.Node.FailureDomain
	total := m.bestTotalSum(now)
	settled := now.Sub(m.chosenSince) > convergenceTime && (total == nil || total.Domains[own] <= local.Domains[own])
	// Members that aren't alive in this node's view may be so in that of others.
	for _, other := range m.byAddress {
		if other.Node.FailureDomain == own && !other.hasFreshState(now) && !other.Gone && (other.wantsSummary || settled) {
			other.markGone(now)
		}
	}
}

// stateMessages returns the message that sends a state to recipients. Unless it
// requests a summary, it also contains some known addresses.
func (m *Mesh) stateMessages(state State, wantsSummary bool, recipients []netip.AddrPort) []message {
	state.WantsSummary = wantsSummary
	if !wantsSummary {
		for _, address := range m.sample(maxKnownPeers) {
			state.KnownPeers = append(state.KnownPeers, address.String())
		}
	}
	data, err := encodeState(&state)
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "mesh state not sent: encoding failed", "err", err)
		return nil
	}
	return []message{{data, recipients}}
}

// stateMessagesToAggregators returns the messages that send this node's state to its
// aggregators and to some random nodes.
func (m *Mesh) stateMessagesToAggregators(state State, live []*member, now time.Time) []message {
	var recipients []netip.AddrPort
	for _, a := range m.ownAggregators(live, now) {
		if a.address != m.address {
			a.expectSummary(now)
			recipients = append(recipients, a.address)
		}
	}
	if m.bestTotalSum(now) == nil {
		recipients = append(recipients, m.sample(fallbackTargets)...)
	}
	return append(m.stateMessages(state, true, recipients), m.stateMessages(state, false, m.sample(randomTargets))...)
}

// ownAggregators returns the aggregators of this node's domain, which may include
// this node.
func (m *Mesh) ownAggregators(live []*member, now time.Time) []*member {
	own := &member{Member: Member{Node: m.latestState.Node}, address: m.address}
	list := append(aggregatorCandidates(own.Node.FailureDomain, live, now), own)
	return selectAggregators(list, func(a *member) bool { return a == own || now.Sub(a.totalSummaryAt) <= summaryTimeout })
}

// isAggregator reports whether this node sums the states of its domain: it is a
// chosen aggregator of a large deployment, or another node requested summaries.
func (m *Mesh) isAggregator(live []*member, now time.Time) bool {
	for _, other := range live {
		if other.wantsSummary && other.hasFreshState(now) {
			return true
		}
	}
	return m.isChosen(live, now)
}

// isChosen reports whether the deployment is large enough for aggregators and this
// node ranks as one of them.
func (m *Mesh) isChosen(live []*member, now time.Time) bool {
	return 1+len(live) > maxDirectNodes && slices.ContainsFunc(m.ownAggregators(live, now), func(a *member) bool {
		return a.address == m.address
	})
}

// domainSum returns the sum of this node's state and the fresh states received from
// its domain.
func (m *Mesh) domainSum(live []*member, now time.Time) *Sum {
	sum := newSum()
	sum.addState(m.latestState)
	for _, other := range live {
		if other.hasFreshState(now) && other.Node.FailureDomain == m.latestState.Node.FailureDomain {
			sum.addState(other.state)
		}
	}
	return sum
}

// localSum returns the sum over all nodes from the data received here: the states of
// this node's domain and, for each other domain, an aggregator's sum or else the
// states received.
func (m *Mesh) localSum(live []*member, now time.Time) *Sum {
	sum := m.domainSum(live, now)
	for _, domain := range failureDomains(live) {
		if domain == m.latestState.Node.FailureDomain {
			continue
		}
		if remote := bestDomainSum(domain, live, now); remote != nil {
			sum.add(remote)
			continue
		}
		for _, other := range live {
			if other.Node.FailureDomain == domain && other.hasFreshState(now) {
				sum.addState(other.state)
			}
		}
	}
	return sum
}

// bestDomainSum returns the valid sum of another domain that covers the most nodes,
// or nil.
func bestDomainSum(domain string, live []*member, now time.Time) *Sum {
	var best *Sum
	for _, other := range live {
		if other.Node.FailureDomain == domain && other.domainSummary != nil && now.Sub(other.domainSummaryAt) <= stateLifetime {
			if best == nil || other.domainSummary.Sum.nodes() > best.nodes() {
				best = other.domainSummary.Sum
			}
		}
	}
	return best
}

// bestTotalSum returns the valid sum of all other nodes, as sent by an aggregator,
// that covers the most nodes, or nil.
func (m *Mesh) bestTotalSum(now time.Time) *Sum {
	var best *Sum
	for _, other := range m.byAddress {
		if other.totalSummary != nil && now.Sub(other.totalSummaryAt) <= stateLifetime {
			if best == nil || other.totalSummary.Sum.nodes() > best.nodes() {
				best = other.totalSummary.Sum
			}
		}
	}
	return best
}

// publish stores a new view of the other nodes. It uses an aggregator's sum if that
// covers more nodes than the local one.
func (m *Mesh) publish(live []*member, local *Sum, now time.Time) {
	others := local.without(m.latestState)
	if total := m.bestTotalSum(now); total != nil && total.nodes() > others.nodes() {
		others = total
	}
	view := &View{Others: others, Quarantine: m.allObservations(now)}
	for _, other := range live {
		// A domain that is missing from the sums is unreachable as a whole.
		_, reported := others.Domains[other.Node.FailureDomain]
		if reported || other.hasFreshState(now) || len(others.Domains) == 0 {
			node := other.Node
			view.Live = append(view.Live, &node)
		}
	}
	m.view.Store(view)
}
