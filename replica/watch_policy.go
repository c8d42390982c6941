package replica

import (
	"cmp"
	"slices"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/rendezvous"
)

// Defaults of RankedWatchers.
const (
	// DefaultAllUpTo is the largest number of serving members at which all watch.
	DefaultAllUpTo = 16
	// DefaultPerFailureDomain is the number of watching nodes per failure domain above
	// that.
	DefaultPerFailureDomain = 3
)

// WatchPolicy decides whether a node holds watches at the platform.
type WatchPolicy interface {
	// Watches reports whether the node named self holds watches. serving are the
	// serving members.
	Watches(self string, serving []fleet.MemberView) bool
}

// RankedWatchers is a WatchPolicy. All nodes watch if there are at most AllUpTo serving
// members. Above that, PerFailureDomain nodes of each failure domain watch, selected by
// rendezvous hashing.
type RankedWatchers struct {
	// AllUpTo is the largest number of serving members at which all watch; 16 by
	// default.
	AllUpTo int
	// PerFailureDomain is the number of watching nodes per failure domain above that; 3
	// by default.
	PerFailureDomain int
}

// Watches implements WatchPolicy.
func (p RankedWatchers) Watches(self string, serving []fleet.MemberView) bool {
	allUpTo := cmp.Or(p.AllUpTo, DefaultAllUpTo)
	perDomain := cmp.Or(p.PerFailureDomain, DefaultPerFailureDomain)
	if len(serving) <= allUpTo {
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
	return slices.Contains(ranked[:min(perDomain, len(ranked))], self)
}
