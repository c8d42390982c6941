package mesh

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The order of the messages within one interval: nodes send their states, aggregators then
// send the sums of their domains to each other, and totalDelay later the sums of all nodes
// to their nodes. Rounds at unrelated times would make the sums older by half an interval
// at each of these steps, for the same number of messages.
const (
	// totalDelay is the time between the sum of a domain and the sum of all nodes. The
	// sums of the other domains arrive within it.
	totalDelay = 10 * time.Millisecond
	// minStateLead and maxStateLead bound how long before an aggregator's round its nodes
	// send their states. The time differs between nodes, so that the states don't arrive
	// all at once.
	minStateLead = 5 * time.Millisecond
	maxStateLead = 30 * time.Millisecond
	// phaseTolerance is the part of the interval by which the leader's rounds may deviate
	// from it. A node doesn't follow rounds that are lost, late or of another length.
	phaseTolerance = 1.0 / 8
)

// phase aligns the rounds of a node with the summaries of another one, the leader.
type phase struct {
	leader netip.AddrPort
	// total is true if the leader's summaries of all nodes are followed, and false for
	// those of its domain.
	total bool
	// lead is how long before a summary the round begins.
	lead time.Duration
	// last and previous are the times of the last two summaries.
	last, previous time.Time
}

// follow sets the leader; an invalid address means none.
func (p *phase) follow(leader netip.AddrPort, total bool, lead time.Duration) {
	if leader != p.leader || total != p.total {
		*p = phase{leader: leader, total: total}
	}
	p.lead = lead
}

// observe records a summary.
func (p *phase) observe(from netip.AddrPort, total bool, now time.Time) {
	if from == p.leader && total == p.total {
		p.previous, p.last = p.last, now
	}
}

// wait returns the time from the beginning of a round to that of the next one: between a
// half and one and a half intervals, or one interval if the leader's rounds can't be
// followed.
func (p *phase) wait(now time.Time, interval time.Duration) time.Duration {
	deviation := p.last.Sub(p.previous) - interval
	tolerance := time.Duration(float64(interval) * phaseTolerance)
	if p.previous.IsZero() || deviation.Abs() > tolerance || now.Sub(p.last) > interval+interval/2 {
		return interval
	}
	next := p.last.Add(interval - p.lead)
	for next.Sub(now) < interval/2 {
		next = next.Add(interval)
	}
	return next.Sub(now)
}

// stateLead returns how long before its aggregator's round a node sends its state.
func stateLead(node string) time.Duration {
	return minStateLead + time.Duration(xxhash.Sum64String(node)%uint64(maxStateLead-minStateLead))
}

// followLeader chooses whose rounds this node follows: a node those of the first
// aggregator of its domain, and the first aggregators those of the one of the first domain.
// The caller holds mu.
func (m *Mesh) followLeader(live []*member, now time.Time) {
	if 1+len(live) <= maxDirectNodes {
		m.phase.follow(netip.AddrPort{}, false, 0)
		return
	}
	own := m.latestState.Node
	aggregators := m.ownAggregators(live, now)
	if len(aggregators) > 0 && aggregators[0].address != m.address {
		lead := totalDelay
		if !m.isChosen(live, now) {
			lead += stateLead(own.Name)
		}
		m.phase.follow(aggregators[0].address, true, lead)
		return
	}
	first := own.FailureDomain
	for _, domain := range failureDomains(live) {
		first = min(first, domain)
	}
	leader := netip.AddrPort{}
	if first != own.FailureDomain {
		responsive := func(a *member) bool { return now.Sub(a.domainSummaryAt) <= summaryTimeout }
		if list := selectAggregators(aggregatorCandidates(first, live, now), responsive); len(list) > 0 {
			leader = list[0].address
		}
	}
	m.phase.follow(leader, false, 0)
}

// untilNextRound returns the time from the beginning of a round to that of the next one.
func (m *Mesh) untilNextRound(began time.Time) time.Duration {
	interval := m.interval()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase.wait(began, interval)
}
