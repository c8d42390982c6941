package replica

import (
	"cmp"
	"slices"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/rendezvous"
)

// Defaults of RankedWatchers.
const (
	DefaultAllWatchUpTo       = 16
	DefaultWatchersPerFailure = 3
)

// WatchPolicy decides whether a node holds watches at the platform.
type WatchPolicy interface {
	// Watches reports whether self watches. serving are the serving members.
	Watches(self string, serving []fleet.MemberView) bool
}

// RankedWatchers lets all nodes watch up to AllUpTo serving members. Above that,
// PerFailureDomain nodes of each failure domain watch, chosen by rendezvous
// hashing.
type RankedWatchers struct {
	// AllUpTo is 16 by default.
	AllUpTo int
	// PerFailureDomain is 3 by default.
	PerFailureDomain int
}

// Watches implements WatchPolicy.
func (p RankedWatchers) Watches(self string, serving []fleet.MemberView) bool {
	all := cmp.Or(p.AllUpTo, DefaultAllWatchUpTo)
	each := cmp.Or(p.PerFailureDomain, DefaultWatchersPerFailure)
	if len(serving) <= all {
		return true
	}
	own := slices.IndexFunc(serving, func(m fleet.MemberView) bool { return m.Node == self })
	if own < 0 {
		return false
	}
	domain := serving[own].FailureDomain
	var nodes []string
	for _, m := range serving {
		if m.FailureDomain == domain {
			nodes = append(nodes, m.Node)
		}
	}
	ranked := rendezvous.Rank("watch/"+domain, nodes)
	return slices.Contains(ranked[:min(each, len(ranked))], self)
}
