package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/rendezvous"
)

const (
	// maxDirectNodes is the largest number of nodes with which each node sends its
	// state to all others; above it, states go through aggregators.
	maxDirectNodes = 12
	// aggregatorsPerDomain is the number of responding aggregators to which each node
	// sends its state: one may fail at any moment.
	aggregatorsPerDomain = 2
	// maxAggregatorsTried limits the nodes to which a state is sent while the ones
	// that rank first don't respond.
	maxAggregatorsTried = 6
)

// selectAggregators returns the aggregators of a failure domain to send to. All nodes
// rank the candidates in the same order, by processor time; the result is the prefix
// that contains aggregatorsPerDomain responsive ones, up to maxAggregatorsTried. This
// is needed because a deployment may have many nodes, most of them small, of which any
// number may be lost at once.
func selectAggregators(candidates []*member, responsive func(*member) bool) []*member {
	slices.SortFunc(candidates, func(a, b *member) int { return CompareByCapacity(&a.Node, &b.Node) })
	responding := 0
	for i, m := range candidates {
		if i == maxAggregatorsTried || responding == aggregatorsPerDomain {
			return candidates[:i]
		}
		if responsive(m) {
			responding++
		}
	}
	return candidates
}

// CompareByCapacity orders the nodes of a failure domain by descending processor
// time. Nodes of equal processor time are ordered by a hash, in the same way on all
// nodes.
func CompareByCapacity(a, b *Node) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(rendezvous.Score(b.FailureDomain, b.Name), rendezvous.Score(a.FailureDomain, a.Name)),
		cmp.Compare(a.Name, b.Name))
}

// aggregatorCandidates returns the nodes of a failure domain that may be its
// aggregators.
func aggregatorCandidates(domain string, nodes []*member, now time.Time) []*member {
	var list []*member
	for _, m := range nodes {
		if m.Node.FailureDomain == domain && m.Node.acceptsRequests() && m.eligible(now) {
			list = append(list, m)
		}
	}
	return list
}

// failureDomains returns the distinct failure domains of nodes.
func failureDomains(nodes []*member) []string {
	var domains []string
	for _, m := range nodes {
		if !slices.Contains(domains, m.Node.FailureDomain) {
			domains = append(domains, m.Node.FailureDomain)
		}
	}
	return domains
}
