package mesh

import "github.com/rattanlanding/rattanlanding/rendezvous"

// View is what is known of the other nodes. It is immutable.
type View struct {
	// Live are the nodes heard of lately, sorted by name.
	Live []*Node
	// Others is what all other nodes do together.
	Others *Sum
}

func emptyView() *View { return &View{Others: newSum()} }

// serving returns the live nodes that take requests.
func (v *View) serving() int {
	n := 0
	for _, node := range v.Live {
		if node.takesWork() {
			n++
		}
	}
	return n
}

// View returns what is known of the other nodes.
func (m *Mesh) View() *View { return m.view.Load() }

// Running implements forward.Peers.
func (m *Mesh) Running(instance string) int { return m.View().Others.Use[Key(instance)].Requests() }

// Progress implements forward.Peers.
func (m *Mesh) Progress(instance string) bool { return m.View().Others.Use[Key(instance)].Progress() }

// Demand implements forward.Peers.
func (m *Mesh) Demand(model string) float64 { return float64(m.View().Others.Demand[model]) }

// Ahead implements forward.Peers.
func (m *Mesh) Ahead(model, instance string) int {
	waiting := m.View().Others.Waiting[model]
	if len(waiting) == 0 {
		return 0
	}
	key := Key(instance)
	n, own := 0, rendezvous.ScoreKeys(key, m.key)
	for _, node := range waiting {
		if rendezvous.ScoreKeys(key, node) > own {
			n++
		}
	}
	return n
}

// Suspecting returns the number of other nodes that found the instance silent.
func (m *Mesh) Suspecting(instance string) int { return int(m.View().Others.Suspects[Key(instance)]) }

// minSuspecting is the number of nodes whose suspicion others share: one alone may
// be cut off itself.
const minSuspecting = 2

// Suspected implements forward.Peers.
func (m *Mesh) Suspected(instance string) bool { return m.Suspecting(instance) >= minSuspecting }

// Nodes implements forward.Peers.
func (m *Mesh) Nodes() int {
	v := m.View()
	if n := v.Others.nodes(); n > 0 {
		return 1 + n
	}
	return 1 + v.serving()
}
