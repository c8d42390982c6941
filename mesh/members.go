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

// Times of what is known of other nodes.
const (
	// silentAfter is how long a node counts without news from it. Lost datagrams are
	// rare.
	silentAfter = 1200 * time.Millisecond
	// forgetAfter is the silence after which a node is told nothing any more.
	forgetAfter = 30 * time.Second
	// reportedFor is how long a node counts that aggregators reported once. They
	// report each of some hundred nodes again within that time, and tell at once
	// which are gone.
	reportedFor = forgetAfter
	// passOnFor is how long the report of another domain's aggregator is passed on.
	passOnFor = 12 * time.Second
	// maxReported is the number of members in one summary.
	maxReported = 4
	// urgentFor is how long a change of a node is reported before all else.
	urgentFor = time.Second
	// answerTime is how long an aggregator may leave a node without its report
	// before another one is asked, several times the interval of reports.
	answerTime = 900 * time.Millisecond
	// avoidTime is how long an aggregator that didn't answer is left out.
	avoidTime = 3 * time.Second
)

// member is what is known of another node.
type member struct {
	Member
	address netip.AddrPort
	// state is the newest one that came from the node itself, at stateAt.
	state   *State
	stateAt time.Time
	// reportedAt is when a report named the node, relayedAt when one of an aggregator
	// of its own domain did.
	reportedAt, relayedAt time.Time
	changedAt             time.Time
	// askedAt is the first state sent to it as an aggregator since its last report.
	askedAt, avoidUntil time.Time
	// reports are the newest ones it sent, by kind.
	total, part     *Summary
	totalAt, partAt time.Time
	// asks tells that the node wants reports.
	asks bool
}

// speaks reports whether the node itself was heard lately.
func (m *member) speaks(now time.Time) bool {
	return m.state != nil && now.Sub(m.stateAt) <= silentAfter
}

// lives reports whether the node counts.
func (m *member) lives(now time.Time) bool {
	return m.speaks(now) || (!m.Gone && !m.reportedAt.IsZero() && now.Sub(m.reportedAt) <= reportedFor)
}

// heardAt is the time of the newest news of the node.
func (m *member) heardAt() time.Time {
	if m.reportedAt.After(m.stateAt) {
		return m.reportedAt
	}
	return m.stateAt
}

// mayAnswer reports whether the node may be chosen as an aggregator: it wasn't asked
// in vain lately.
func (m *member) mayAnswer(now time.Time) bool {
	if !m.askedAt.IsZero() && now.Sub(m.askedAt) > answerTime {
		m.askedAt, m.avoidUntil = time.Time{}, now.Add(avoidTime)
	}
	return now.After(m.avoidUntil)
}

// asked notes that the node is expected to send reports.
func (m *member) asked(now time.Time) {
	if m.askedAt.IsZero() {
		m.askedAt = now
	}
}

// update replaces what is known of the node.
func (m *member) update(n *Node, gone bool, now time.Time) {
	if m.Gone != gone || m.Node.Boot != n.Boot || m.Node.takesWork() != n.takesWork() {
		m.changedAt = now
	}
	m.Node, m.Gone = *n, gone
}

// members are the other nodes. The caller of its methods holds the lock.
type members struct {
	byAddress map[netip.AddrPort]*member
	// targets are addresses that may be nodes, with the time of the last sign.
	targets map[netip.AddrPort]time.Time
	// shuffle draws an order.
	shuffle func(n int, swap func(i, j int))
}

func newMembers() members {
	return members{byAddress: map[netip.AddrPort]*member{}, targets: map[netip.AddrPort]time.Time{}, shuffle: rand.Shuffle}
}

// at returns the member with an address.
func (ms *members) at(address netip.AddrPort) *member {
	m := ms.byAddress[address]
	if m == nil {
		m = &member{address: address}
		ms.byAddress[address] = m
	}
	return m
}

// living returns the members that count, by name. While they are few, all tell all
// others, and one that doesn't is gone.
func (ms *members) living(now time.Time) []*member {
	var list []*member
	for _, m := range ms.byAddress {
		if m.lives(now) {
			list = append(list, m)
		}
	}
	if 1+len(list) <= directNodes {
		list = slices.DeleteFunc(list, func(m *member) bool { return !m.speaks(now) })
	}
	slices.SortFunc(list, func(a, b *member) int { return strings.Compare(a.Node.Name, b.Node.Name) })
	return list
}

// forget drops nodes and addresses without news.
func (ms *members) forget(now time.Time, keep []string) {
	for address, m := range ms.byAddress {
		if now.Sub(m.heardAt()) > forgetAfter {
			delete(ms.byAddress, address)
		}
	}
	for address, at := range ms.targets {
		if now.Sub(at) > forgetAfter && !slices.Contains(keep, address.String()) {
			delete(ms.targets, address)
		}
	}
}

// sample draws a number of addresses.
func (ms *members) sample(n int) []netip.AddrPort {
	list := slices.SortedFunc(maps.Keys(ms.targets), netip.AddrPort.Compare)
	ms.shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// reportable returns the members that a report names: changed ones first, then
// those named longest ago. An aggregator tells of its own domain what it hears, and
// passes on what aggregators of other domains told of theirs.
func (ms *members) reportable(domain string, total bool, named map[netip.AddrPort]time.Time, now time.Time) []Member {
	type entry struct {
		*member
		// order is 0 for a change that is told before all else.
		order int
		at    time.Time
	}
	var list []entry
	for address, m := range ms.byAddress {
		own := m.Node.FailureDomain == domain
		urgent := now.Sub(m.changedAt) <= urgentFor
		switch {
		case own && !m.speaks(now) && !(m.Gone && urgent):
		case !own && (!total || now.Sub(m.relayedAt) > passOnFor):
		default:
			order := 1
			if urgent {
				order = 0
			}
			list = append(list, entry{m, order, named[address]})
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.order, b.order), a.at.Compare(b.at), a.address.Compare(b.address))
	})
	reported := make([]Member, min(len(list), maxReported))
	for i := range reported {
		reported[i] = list[i].Member
	}
	return reported
}
