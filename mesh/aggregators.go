package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/rendezvous"
)

const (
	// directNodes is the number of nodes up to which each tells all others.
	directNodes = 12
	// aggregatorsPerDomain is the number of aggregators that each node tells: one
	// may be lost at any moment.
	aggregatorsPerDomain = 2
	// maxAsked bounds the nodes that are told while those that come first don't
	// answer.
	maxAsked = 6
)

// aggregators returns the nodes to tell, of those that may sum the states of a
// failure domain: the first ones of an order that all nodes know, by processor time,
// up to the number that is needed and answers. It answers to many nodes, most of them
// small, of which any number may be lost at once.
func aggregators(candidates []*member, answers func(*member) bool) []*member {
	slices.SortFunc(candidates, func(a, b *member) int { return CompareByCapacity(&a.Node, &b.Node) })
	answering := 0
	for i, m := range candidates {
		if i == maxAsked || answering == aggregatorsPerDomain {
			return candidates[:i]
		}
		if answers(m) {
			answering++
		}
	}
	return candidates
}

// CompareByCapacity orders the nodes of a failure domain by processor time, those of
// equal time in an order that all nodes know.
func CompareByCapacity(a, b *Node) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(rendezvous.Score(b.FailureDomain, b.Name), rendezvous.Score(a.FailureDomain, a.Name)),
		cmp.Compare(a.Name, b.Name))
}

// candidates returns the members of a domain that may be its aggregators.
func candidates(domain string, nodes []*member, now time.Time) []*member {
	var list []*member
	for _, m := range nodes {
		if m.Node.FailureDomain == domain && m.Node.takesWork() && m.mayAnswer(now) {
			list = append(list, m)
		}
	}
	return list
}

// domainsOf returns the failure domains of nodes.
func domainsOf(nodes []*member) []string {
	var domains []string
	for _, m := range nodes {
		if !slices.Contains(domains, m.Node.FailureDomain) {
			domains = append(domains, m.Node.FailureDomain)
		}
	}
	return domains
}
