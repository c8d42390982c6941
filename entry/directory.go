package entry

import (
	"math"
	"slices"

	"github.com/rattanlanding/rattanlanding/mesh"
)

const (
	// maxFullList is the largest number of nodes with which callers receive the
	// addresses of all of them.
	maxFullList = 12
	// maxAddresses is the largest number of addresses in a response to a caller. It is
	// high because many of them may fail at once before the caller asks again.
	maxAddresses = 24
	// activeShare is the fraction of each failure domain's processor time to which
	// callers are sent. The active nodes then each see enough of the load to estimate
	// it and reuse more connections; the others replace nodes that fail.
	activeShare = 0.5
	// sameDomainWeight is the weight of a node in the caller's failure domain relative
	// to one elsewhere, since traffic between domains costs money.
	sameDomainWeight = 4
)

// chooseAddresses returns the addresses of the nodes that a caller may use. Callers
// pick one of them at random. A caller of a small deployment receives all nodes: only
// those of its own domain would be loaded unevenly. In a large deployment it receives
// a random sample of the active nodes, weighted by processor time; most nodes may be
// small, and each would otherwise see only a hundredth of the load. The function random
// returns numbers in [0, 1).
func chooseAddresses(nodes []*mesh.Node, domain string, random func() float64) []string {
	if len(nodes) > maxFullList {
		nodes = sampleNodes(activeNodes(nodes), domain, random)
	}
	addresses := make([]string, len(nodes))
	for i, n := range nodes {
		addresses[i] = n.CallerAddress
	}
	return addresses
}

// activeNodes returns the nodes with the most processor time of each failure domain,
// as many as are needed for activeShare of the domain's processor time.
func activeNodes(nodes []*mesh.Node) []*mesh.Node {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, mesh.CompareByCapacity)
	total, taken := map[string]float64{}, map[string]float64{}
	for _, n := range sorted {
		total[n.FailureDomain] += capacity(n)
	}
	var active []*mesh.Node
	for _, n := range sorted {
		if taken[n.FailureDomain] < total[n.FailureDomain]*activeShare {
			taken[n.FailureDomain] += capacity(n)
			active = append(active, n)
		}
	}
	return active
}

// sampleNodes returns a weighted random sample without replacement: it assigns each
// node an exponentially distributed number whose rate is the node's weight, and takes
// the smallest ones.
func sampleNodes(nodes []*mesh.Node, domain string, random func() float64) []*mesh.Node {
	type candidate struct {
		node *mesh.Node
		key  float64
	}
	list := make([]candidate, len(nodes))
	for i, n := range nodes {
		weight := capacity(n)
		if n.FailureDomain == domain {
			weight *= sameDomainWeight
		}
		list[i] = candidate{n, -math.Log(1-random()) / weight}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	sample := make([]*mesh.Node, min(len(list), maxAddresses))
	for i := range sample {
		sample[i] = list[i].node
	}
	return sample
}

// capacity returns the processor share of a node in percent of a core, at least 1.
func capacity(n *mesh.Node) float64 { return float64(max(n.Capacity, 1)) }
