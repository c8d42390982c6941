package mesh

import (
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/rendezvous"
)

// View is this node's view of the other nodes. It is immutable.
type View struct {
	// Live are the other nodes that are alive, sorted by name.
	Live []*Node
	// Others is the sum of all other nodes.
	Others *Sum
	// Quarantine is what all nodes observed of what crashes engines.
	Quarantine quarantine.Reports
}

func emptyView() *View { return &View{Others: newSum()} }

// countServing returns the number of live nodes that accept requests.
func (v *View) countServing() int {
	n := 0
	for _, node := range v.Live {
		if node.acceptsRequests() {
			n++
		}
	}
	return n
}

// View returns the current view of the other nodes.
func (m *Mesh) View() *View { return m.view.Load() }

// Running implements forward.Peers.
func (m *Mesh) Running(instance string) int { return m.View().Others.Load[Key(instance)].Requests() }

// Progress implements forward.Peers.
func (m *Mesh) Progress(instance string) bool { return m.View().Others.Load[Key(instance)].Progress() }

// Demand implements forward.Peers.
func (m *Mesh) Demand(model string) float64 { return float64(m.View().Others.Demand[model]) }

// arrivalPrefix precedes the name of a pool in the demand of a state: the entry holds the
// arrivals per second instead of slots.
const arrivalPrefix = "arrivals:"

// ArrivalKey returns the key in the demand of a state for the arrivals at a pool per second.
func ArrivalKey(service, model string) string { return arrivalPrefix + service + "/" + model }

// IsArrivalKey reports whether a key in the demand of a state is one for arrivals.
func IsArrivalKey(key string) bool { return strings.HasPrefix(key, arrivalPrefix) }

// ArrivalRate implements forward.Peers.
func (m *Mesh) ArrivalRate(service, model string) float64 {
	return float64(m.View().Others.Demand[ArrivalKey(service, model)])
}

// Ahead implements forward.Peers.
func (m *Mesh) Ahead(model, instance string) int {
	waiting := m.View().Others.Waiting[model]
	if len(waiting) == 0 {
		return 0
	}
	key := Key(instance)
	n, own := 0, rendezvous.ScoreHashes(key, m.key)
	for _, node := range waiting {
		if rendezvous.ScoreHashes(key, node) > own {
			n++
		}
	}
	return n
}

// Suspecting returns the number of other nodes that suspect the instance.
func (m *Mesh) Suspecting(instance string) int { return int(m.View().Others.Suspects[Key(instance)]) }

// minSuspecting is the number of nodes that must suspect an instance before it counts
// as suspected: a single node may itself be cut off from the network.
const minSuspecting = 2

// Suspected implements forward.Peers.
func (m *Mesh) Suspected(instance string) bool { return m.Suspecting(instance) >= minSuspecting }

// Nodes implements forward.Peers.
func (m *Mesh) Nodes() int {
	v := m.View()
	if n := v.Others.nodes(); n > 0 {
		return 1 + n
	}
	return 1 + v.countServing()
}

// ReportAge implements forward.Peers. Beyond maxDirectNodes, states pass through an
// aggregator, which sends them on in its next round.
func (m *Mesh) ReportAge() time.Duration {
	interval := m.interval()
	if 1+len(m.View().Live) > maxDirectNodes {
		return 2 * interval
	}
	return interval
}
