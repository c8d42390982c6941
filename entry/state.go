package entry

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/reach"
	"github.com/rattanlanding/rattanlanding/suspicion"
)

// status provides this node's state to other nodes and callers, and combines it with
// the state of the other nodes.
type status struct {
	settings      Settings
	platformState *PlatformState
	tables        *forward.Tables
	dispatcher    *forward.Dispatcher
	instances     *follow.Follower
	mesh          *mesh.Mesh
	quarantine    *quarantine.Guard
	// links is the state of the paths to backend servers.
	links    *reach.Ledger
	carriers carriers
	leaving  atomic.Bool
}

// Ready implements platform.Directory. The node is ready if it has a configuration and
// an instance list and isn't shutting down.
func (s *status) Ready() bool {
	return !s.leaving.Load() && s.platformState.Configuration.Load() != nil && s.platformState.Roster.Load() != nil
}

// Addresses implements platform.Directory.
func (s *status) Addresses(_, failureDomain string) ([]string, float64) {
	var nodes []*mesh.Node
	if s.Ready() {
		own := s.node()
		nodes = append(nodes, &own)
	}
	for _, other := range s.mesh.View().Live {
		if other.Serving && !other.Leaving {
			nodes = append(nodes, other)
		}
	}
	return chooseAddresses(nodes, failureDomain, rand.Float64), s.settings.AddressTTL.Seconds()
}

// node returns this node's entry in the mesh.
func (s *status) node() mesh.Node {
	node := s.settings.identity()
	node.Serving, node.Leaving = s.Ready(), s.leaving.Load()
	if c := s.platformState.Configuration.Load(); c != nil {
		node.ConfigurationVersion = c.Version
	}
	if snapshot := s.instances.Current.Load(); snapshot != nil {
		node.ListCursor = snapshot.Cursor
	}
	node.EvacuationCursor = s.platformState.evacuations.cursor()
	node.Stranded = s.links.Stranded()
	return node
}

// state returns the state to send to other nodes. What a stranded node sees servers fail is the
// failure of its own links.
func (s *status) state() mesh.State {
	s.quarantine.Absorb(s.mesh.View().Quarantine)
	state := mesh.State{Node: s.node(), Load: map[uint32]mesh.Load{}, Demand: s.ownDemand(), Waiting: map[string]uint16{},
		Suspects: map[uint32]suspicion.Report{}, Quarantine: s.quarantine.Report()}
	now := time.Now()
	stranded := s.links.Stranded()
	s.tables.Load().Each(func(t *forward.Target) {
		key := mesh.Key(t.Instance.ID)
		if n := t.Load.Running(); n > 0 {
			state.Load[key] = mesh.NewLoad(n, t.Load.HasRecentProgress(now))
		}
		if seen := t.Load.Evidence(now).Report(s.mesh.Evidence(t.Instance.ID)); seen != 0 && !stranded {
			state.Suspects[key] = seen
		}
	})
	state.Suspects = suspicion.Worst(state.Suspects)
	for pool, rate := range s.dispatcher.ArrivalRates() {
		state.Demand[mesh.ArrivalKey(pool.Service, pool.Model)] = float32(rate)
	}
	for pool, n := range s.dispatcher.Waiting() {
		if pool.Model != "" {
			state.Waiting[pool.Model] = uint16(n)
		}
	}
	return state
}

// ownDemand returns the slots that this node's requests would occupy, by model.
func (s *status) ownDemand() map[string]float32 {
	demand := map[string]float32{}
	for pool, slots := range s.dispatcher.Demand() {
		if pool.Model != "" && slots > 0 {
			demand[pool.Model] += float32(slots)
		}
	}
	return demand
}

// demand returns the demand of all nodes in slots by model.
func (s *status) demand() map[string]float64 {
	total := map[string]float64{}
	for model, slots := range s.ownDemand() {
		total[model] += float64(slots)
	}
	for model, slots := range s.mesh.View().Others.Demand {
		if !mesh.IsArrivalKey(model) {
			total[model] += float64(slots)
		}
	}
	// Slots that can't be used have to be replaced like those that are taken.
	for model, slots := range s.dispatcher.UnusableSlots() {
		total[model] += slots
	}
	return total
}

// suspecting returns the number of nodes, including this one, to which an instance is silent
// or gone.
func (s *status) suspecting(instance string) int {
	n := s.mesh.Evidence(instance).Unresponsive()
	if t := s.tables.Load().Target(instance); t != nil && t.Load.Suspected(time.Now()) && !s.links.Stranded() {
		n++
	}
	return n
}

// progress reports whether events arrive from a target at any node.
func (s *status) progress(instance string) bool {
	t := s.tables.Load().Target(instance)
	return (t != nil && t.Load.HasRecentProgress(time.Now())) || s.mesh.Progress(instance)
}

// mayLead reports whether this node and others reach the backend servers well enough to hold the
// lease, by the node states alone. If all nodes are stranded, each of them does.
func mayLead(stranded bool, live []*mesh.Node) (own bool, other func(*mesh.Node) bool) {
	if stranded && !slices.ContainsFunc(live, (*mesh.Node).CanCarry) {
		return true, func(*mesh.Node) bool { return true }
	}
	return !stranded, func(n *mesh.Node) bool { return !n.Stranded }
}

// members returns the members for the lease manager; the holder of the lease must be a
// serving node that reaches the backend servers, if there is one.
func (s *status) members() *blackboard.Members {
	live := s.mesh.View().Live
	ownMay, otherMay := mayLead(s.links.Stranded(), live)
	own := fleet.NodeServing
	if s.leaving.Load() || !ownMay {
		own = fleet.NodeLeaving
	}
	now := time.Now()
	m := &blackboard.Members{Self: s.settings.Node, All: []fleet.MemberView{{
		Member: fleet.Member{Node: s.settings.Node, State: own}, HeartbeatAt: now,
	}}}
	for _, other := range live {
		state := fleet.NodeServing
		if other.Leaving || !otherMay(other) {
			state = fleet.NodeLeaving
		}
		m.All = append(m.All, fleet.MemberView{Member: fleet.Member{Node: other.Name, State: state}, HeartbeatAt: now})
	}
	return m
}
