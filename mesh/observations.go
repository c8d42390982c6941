package mesh

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/quarantine"
)

// Scope says whose observations a message contains, and of which kind they are.
type Scope uint8

// Scopes of observations of parts. Those of other kinds follow, scopesPerKind apart.
const (
	// ScopeNode is the sender itself.
	ScopeNode Scope = iota
	// ScopeDomain is all nodes of the sender's failure domain.
	ScopeDomain
	// ScopeAll is all nodes.
	ScopeAll
	scopesPerKind
)

const scopeCount = scopesPerKind * Scope(quarantine.KindCount)

// of returns the scope for observations of a kind.
func (s Scope) of(k quarantine.Kind) Scope { return s + scopesPerKind*Scope(k) }

// Observed is the message with observations of what crashes engines. It takes
// the way of states and summaries, in datagrams of its own, and only if there are any.
type Observed struct {
	// PeerAddress is the "IP:port" that other nodes use for the sender.
	PeerAddress  string                   `msgpack:"p"`
	Scope        Scope                    `msgpack:"s"`
	Observations *quarantine.Observations `msgpack:"o"`
}

// receivedObservations are the newest observations received from a node in one scope.
type receivedObservations struct {
	*quarantine.Observations
	at time.Time
}

// acceptObserved records received observations. The caller holds m.mu.
func (m *Mesh) acceptObserved(o *Observed, now time.Time) {
	address, err := netip.ParseAddrPort(o.PeerAddress)
	if err != nil || address == m.address {
		return
	}
	// The sender becomes known by its state or summary of the same round.
	if from := m.byAddress[address]; from != nil {
		from.observed[o.Scope] = receivedObservations{o.Observations, now}
	}
}

// observations returns the union of this node's observations of a kind and those received
// in the scopes, from the nodes that include selects.
func (m *Mesh) observations(kind quarantine.Kind, now time.Time, include func(*member) bool, scopes ...Scope) *quarantine.Observations {
	union := quarantine.Merge(kind, nil, m.latestState.Quarantine[kind], 0)
	for _, other := range m.byAddress {
		if !include(other) {
			continue
		}
		for _, scope := range scopes {
			if r := other.observed[scope.of(kind)]; now.Sub(r.at) <= stateLifetime {
				union = quarantine.Merge(kind, union, r.Observations, now.Sub(r.at))
			}
		}
	}
	return union
}

func anyMember(*member) bool { return true }

// observationMessages returns the messages with observations: this node's for the nodes
// that receive its state and, if it is an aggregator, those of its domain for the
// aggregators of other domains and those of all nodes for the nodes of its domain.
func (m *Mesh) observationMessages(stateRecipients []netip.AddrPort, live []*member, aggregator bool, now time.Time) []message {
	var messages []message
	for k, own := range m.latestState.Quarantine {
		messages = m.appendObserved(messages, ScopeNode.of(quarantine.Kind(k)), own, stateRecipients, now)
	}
	if !aggregator {
		return messages
	}
	sameDomain := func(other *member) bool { return other.Node.FailureDomain == m.latestState.Node.FailureDomain }
	var nodes []netip.AddrPort
	for _, other := range live {
		if other.wantsSummary && other.hasFreshState(now) {
			nodes = append(nodes, other.address)
		}
	}
	for k := range quarantine.KindCount {
		messages = m.appendObserved(messages, ScopeDomain.of(k), m.observations(k, now, sameDomain, ScopeNode), m.remoteAggregators(live, now), now)
		messages = m.appendObserved(messages, ScopeAll.of(k), m.observations(k, now, anyMember, ScopeNode, ScopeDomain), nodes, now)
	}
	return messages
}

// allObservations returns what all nodes observed.
func (m *Mesh) allObservations(now time.Time) (reports quarantine.Reports) {
	for k := range quarantine.KindCount {
		reports[k] = m.observations(k, now, anyMember, ScopeNode, ScopeDomain, ScopeAll)
	}
	return reports
}

// noticeInterval is the time between two messages that only repeat quarantines. It is
// shorter than their lifetime at the receiver.
const noticeInterval = stateLifetime / 2

// appendObserved appends a message with observations. Those that don't fit into a datagram
// are dropped.
func (m *Mesh) appendObserved(messages []message, scope Scope, o *quarantine.Observations, recipients []netip.AddrPort, now time.Time) []message {
	if o.Empty() || (len(o.Strikes)+len(o.Clearances) == 0 && now.Sub(m.observedSentAt[scope]) < noticeInterval) {
		return messages
	}
	m.observedSentAt[scope] = now
	for !o.Empty() && len(recipients) > 0 {
		data, err := marshal(observedDatagram{&Observed{m.latestState.Node.PeerAddress, scope, o}})
		if err != nil {
			_ = level.Error(m.logger).Log("msg", "observations not sent: encoding failed", "err", err)
			return messages
		}
		if len(data) <= maxDatagram {
			return append(messages, message{data, recipients})
		}
		o = o.Shorten()
	}
	return messages
}
