package entry

import (
	"math"
	"slices"

	"github.com/rattanlanding/rattanlanding/mesh"
)

const (
	// fewNodes is the number of nodes up to which callers are told all of them.
	fewNodes = 12
	// maxAddresses is the number of addresses in an answer to a caller. Many of
	// them may be lost at once before the caller asks again.
	maxAddresses = 24
	// activeShare is the part of each failure domain's processor time that callers
	// are sent to. Each active node then sees enough of the load to judge it, keeps
	// more connections in use, and the rest take over from those that are lost.
	activeShare = 0.5
	// nearWeight is the weight of a node in the caller's failure domain against one
	// elsewhere, since bytes between domains cost.
	nearWeight = 4
)

// chooseAddresses returns the nodes that a caller is told. Callers draw one at
// random, so all of a small number are named: those near a caller alone would be
// loaded unevenly. Of many, it draws from the active ones by their processor time.
// It answers to many nodes, most of them small, that would each see a hundredth of
// the load. The draw returns numbers from 0 to 1.
func chooseAddresses(nodes []*mesh.Node, domain string, draw func() float64) []string {
	if len(nodes) > fewNodes {
		nodes = drawNodes(activeNodes(nodes), domain, draw)
	}
	addresses := make([]string, len(nodes))
	for i, n := range nodes {
		addresses[i] = n.CallerAddress
	}
	return addresses
}

// activeNodes returns the nodes with the most processor time that together have a
// share of each failure domain's.
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

// drawNodes draws nodes by weight, each one at most once: those with the smallest
// of exponentially distributed numbers whose rates are the weights.
func drawNodes(nodes []*mesh.Node, domain string, draw func() float64) []*mesh.Node {
	type entry struct {
		node *mesh.Node
		at   float64
	}
	list := make([]entry, len(nodes))
	for i, n := range nodes {
		weight := capacity(n)
		if n.FailureDomain == domain {
			weight *= nearWeight
		}
		list[i] = entry{n, -math.Log(1-draw()) / weight}
	}
	slices.SortFunc(list, func(a, b entry) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	drawn := make([]*mesh.Node, min(len(list), maxAddresses))
	for i := range drawn {
		drawn[i] = list[i].node
	}
	return drawn
}

func capacity(n *mesh.Node) float64 { return float64(max(n.Capacity, 1)) }
