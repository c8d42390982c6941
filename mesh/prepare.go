package mesh

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// strangers is the number of nodes drawn by lot that are told the state beside
	// the aggregators, so that parts of a deployment that lost each other meet.
	strangers = 1
	// helpers is the number of such nodes while no aggregator answers.
	helpers = 6
	// chosenTime is the time in which all nodes of a domain choose the same
	// aggregators.
	chosenTime = 3 * time.Second
)

// prepare publishes a view and returns what is to be sent.
func (m *Mesh) prepare(state State, now time.Time) []message {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latest = &state
	m.forget(now, m.cfg.Seeds)
	for address := range m.named {
		if m.byAddress[address] == nil {
			delete(m.named, address)
		}
	}
	living := m.living(now)
	local := m.localSum(living, now)
	m.markGone(living, local, now)
	m.publish(living, local, now)
	var messages []message
	if 1+len(living) <= directNodes {
		// A node that hears nobody asks those that it was told of.
		alone := !slices.ContainsFunc(living, func(other *member) bool { return other.speaks(now) })
		messages = m.tell(state, alone, m.sample(len(m.targets)))
	} else {
		messages = m.tellAggregators(state, living, now)
	}
	if m.isAggregator(living, now) {
		messages = append(messages, m.summaries(living, now)...)
	}
	return messages
}

// markGone notes the nodes of this domain that don't tell their state here. Only an
// aggregator that all choose can tell, and only once all had the time to choose it;
// one that another node hears more of isn't the one that they chose.
func (m *Mesh) markGone(living []*member, local *Sum, now time.Time) {
	if !m.isChosen(living, now) {
		m.chosenSince = time.Time{}
		return
	}
	if m.chosenSince.IsZero() {
		m.chosenSince = now
	}
	own := m.latest.Node.FailureDomain
	total := m.bestTotal(now)
	settled := now.Sub(m.chosenSince) > chosenTime && (total == nil || total.Domains[own] <= local.Domains[own])
	for _, other := range living {
		if other.Node.FailureDomain == own && !other.speaks(now) && !other.Gone && (other.asks || settled) {
			other.Gone, other.changedAt = true, now
		}
	}
}

// tell returns the message of a state.
func (m *Mesh) tell(state State, ask bool, to []netip.AddrPort) []message {
	state.Ask = ask
	if !ask {
		for _, address := range m.sample(sharedAddresses) {
			state.Known = append(state.Known, address.String())
		}
	}
	data, err := encodeState(&state)
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "state not sent", "err", err)
		return nil
	}
	return []message{{data, to}}
}

// tellAggregators returns the messages of this node's state to its aggregators, and
// to some others.
func (m *Mesh) tellAggregators(state State, living []*member, now time.Time) []message {
	var to []netip.AddrPort
	for _, a := range m.ownAggregators(living, now) {
		if a.address != m.address {
			a.asked(now)
			to = append(to, a.address)
		}
	}
	if m.bestTotal(now) == nil {
		to = append(to, m.sample(helpers)...)
	}
	return append(m.tell(state, true, to), m.tell(state, false, m.sample(strangers))...)
}

// ownAggregators returns the aggregators of this node's domain; it may be one.
func (m *Mesh) ownAggregators(living []*member, now time.Time) []*member {
	own := &member{Member: Member{Node: m.latest.Node}, address: m.address}
	list := append(candidates(own.Node.FailureDomain, living, now), own)
	return aggregators(list, func(a *member) bool { return a == own || now.Sub(a.totalAt) <= answerTime })
}

// isAggregator reports whether this node sums the states of its domain: in a large
// deployment it is one of those that all choose, or a node asked it.
func (m *Mesh) isAggregator(living []*member, now time.Time) bool {
	for _, other := range living {
		if other.asks && other.speaks(now) {
			return true
		}
	}
	return m.isChosen(living, now)
}

// isChosen reports whether this node is one of the aggregators of a large deployment.
func (m *Mesh) isChosen(living []*member, now time.Time) bool {
	return 1+len(living) > directNodes && slices.ContainsFunc(m.ownAggregators(living, now), func(a *member) bool {
		return a.address == m.address
	})
}

// part returns the sum of the states of this node's domain that were heard here.
func (m *Mesh) part(living []*member, now time.Time) *Sum {
	sum := newSum()
	sum.addState(m.latest)
	for _, other := range living {
		if other.speaks(now) && other.Node.FailureDomain == m.latest.Node.FailureDomain {
			sum.addState(other.state)
		}
	}
	return sum
}

// localSum returns the sum of all nodes as far as it is known here: the states of
// this domain, and of each other one the part of an aggregator or else the states
// that were heard.
func (m *Mesh) localSum(living []*member, now time.Time) *Sum {
	sum := m.part(living, now)
	for _, domain := range domainsOf(living) {
		if domain == m.latest.Node.FailureDomain {
			continue
		}
		if part := bestPart(domain, living, now); part != nil {
			sum.add(part)
			continue
		}
		for _, other := range living {
			if other.Node.FailureDomain == domain && other.speaks(now) {
				sum.addState(other.state)
			}
		}
	}
	return sum
}

// bestPart returns the newest sum of another domain that covers most of it, or nil.
func bestPart(domain string, living []*member, now time.Time) *Sum {
	var best *Sum
	for _, other := range living {
		if other.Node.FailureDomain == domain && other.part != nil && now.Sub(other.partAt) <= silentAfter {
			if best == nil || other.part.Sum.nodes() > best.nodes() {
				best = other.part.Sum
			}
		}
	}
	return best
}

// bestTotal returns the newest sum of all others that an aggregator sent here and
// that covers most of them, or nil.
func (m *Mesh) bestTotal(now time.Time) *Sum {
	var best *Sum
	for _, other := range m.byAddress {
		if other.total != nil && now.Sub(other.totalAt) <= silentAfter {
			if best == nil || other.total.Sum.nodes() > best.nodes() {
				best = other.total.Sum
			}
		}
	}
	return best
}

// publish shares what is known of the other nodes.
func (m *Mesh) publish(living []*member, local *Sum, now time.Time) {
	others := local.without(m.latest)
	if total := m.bestTotal(now); total != nil && total.nodes() > others.nodes() {
		others = total
	}
	view := &View{Others: others}
	for _, other := range living {
		// A domain that no aggregator reports is cut off as a whole.
		_, reported := others.Domains[other.Node.FailureDomain]
		if reported || other.speaks(now) || len(others.Domains) == 0 {
			node := other.Node
			view.Live = append(view.Live, &node)
		}
	}
	m.view.Store(view)
}
