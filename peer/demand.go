package peer

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// demandTable holds the newest demand report of each node.
type demandTable struct {
	mu     sync.Mutex
	byNode map[string]blackboard.NodeDemand
}

// merge stores a node's demand report unless a newer one is stored.
func (t *demandTable) merge(node string, demand blackboard.NodeDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byNode == nil {
		t.byNode = map[string]blackboard.NodeDemand{}
	}
	if known, ok := t.byNode[node]; ok && !demand.ReceivedAt.After(known.ReceivedAt) {
		return
	}
	t.byNode[node] = demand
}

// snapshot returns the reports that are younger than maxAge and discards the others.
func (t *demandTable) snapshot(now time.Time, maxAge time.Duration) *blackboard.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.byNode, func(_ string, d blackboard.NodeDemand) bool {
		return now.Sub(d.ReceivedAt) >= maxAge
	})
	return &blackboard.Demand{ByNode: maps.Clone(t.byNode)}
}

// addTo adds the reports of other nodes to a response in random order.
func (t *demandTable) addTo(b *responseBuilder, ownNode string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := make([]string, 0, len(t.byNode))
	for node := range t.byNode {
		if node != ownNode {
			nodes = append(nodes, node)
		}
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, node := range nodes {
		demand := t.byNode[node]
		b.addDemand(node, &demand, now)
	}
}
