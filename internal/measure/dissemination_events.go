package measure

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer"
)

// measureEventsAt emits, for each event, the time until it has reached every node.
func measureEventsAt(ctx context.Context, nodes int, emit Emit) error {
	c, err := startCluster(ctx, nodes)
	if err != nil {
		return err
	}
	defer c.close()
	c.waitSettled(settleTimeout)
	time.Sleep(time.Second)
	report := func(event string, took time.Duration, ok bool) {
		name := fmt.Sprintf("%d nodes, %s known to all", nodes, event)
		if !ok {
			name += " (not reached in this time)"
		}
		emit(exchangePolicy(nodes), name, took.Seconds(), "s")
	}
	if err := c.measureRevision(report); err != nil {
		return err
	}
	c.measureLoss(report, emit)
	if err := c.measureJoin(report); err != nil {
		return err
	}
	c.measureFreeze(emit)
	c.measureRootFreeze(emit)
	c.measureDeath(report)
	return nil
}

// measureRevision stores a new configuration at the platform and reports the time
// until every node has it.
func (c *cluster) measureRevision(report func(string, time.Duration, bool)) error {
	c.config.Revision++
	if err := c.writeConfiguration(); err != nil {
		return err
	}
	took, ok := c.waitUntil(eventTimeout, func(n *controlNode) bool {
		return n.board.Configuration.Load().Revision == c.config.Revision
	})
	report("new configuration revision", took, ok)
	return nil
}

// measureLoss makes an engine fail for which, as far as possible, every node has
// evidence, and reports the time until no node has any. It also emits the peer bytes
// that are sent because the engine stays down.
func (c *cluster) measureLoss(report func(string, time.Duration, bool), emit Emit) {
	lost := c.list.list.Instances[0]
	var down *atomic.Bool
	for i, a := range c.engines.addresses {
		if a == lost.Address {
			down = &c.engines.lost[i]
		}
	}
	down.Store(true)
	took, ok := c.waitUntil(eventTimeout, func(n *controlNode) bool {
		_, known := n.table.Get(lost.ID)
		return !known
	})
	report("loss of an instance (probe interval included)", took, ok)
	// The first announcements are repeated in peer messages for 3 s.
	pause(c.ctx, lossSettleTime)
	broken := c.sentRate()
	down.Store(false)
	pause(c.ctx, lossSettleTime)
	name := fmt.Sprintf("%d nodes, peer bytes sent by all because one instance stays down", len(c.nodes))
	emit(exchangePolicy(len(c.nodes)), name, broken-c.sentRate(), "B/s")
}

// sentRate returns the peer bytes per second that all nodes send together.
func (c *cluster) sentRate() float64 {
	before, started := c.sumCounters(peer.MetricBytesSent), time.Now()
	pause(c.ctx, trafficWindow)
	return (c.sumCounters(peer.MetricBytesSent) - before) / time.Since(started).Seconds()
}

// measureJoin starts one more node and reports the time until every node lists it.
func (c *cluster) measureJoin(report func(string, time.Duration, bool)) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if err := c.add(listener); err != nil {
		return err
	}
	joined := c.nodes[len(c.nodes)-1]
	took, ok := c.waitUntil(eventTimeout, func(n *controlNode) bool { return n.hasMember(joined.name) })
	report("join of a node", took, ok)
	return nil
}

// measureFreeze pauses one node for 2 s. It emits the number of nodes that suspect or
// remove it and the number of failed probes of live instances.
func (c *cluster) measureFreeze(emit Emit) {
	frozen := c.nodes[len(c.nodes)/2]
	failures := c.sumCounters("health.probe_failures")
	suspects, removed := map[string]bool{}, map[string]bool{}
	frozen.gate.Lock()
	started, thawed := time.Now(), false
	for time.Since(started) < freezeDuration+thawObservation && c.ctx.Err() == nil {
		if !thawed && time.Since(started) >= freezeDuration {
			frozen.gate.Unlock()
			thawed = true
		}
		for _, n := range c.nodes {
			state, known := memberState(n, frozen.name)
			suspects[n.name] = suspects[n.name] || n != frozen && state == fleet.NodeSuspect
			removed[n.name] = removed[n.name] || n != frozen && !known
		}
		time.Sleep(pollInterval)
	}
	if !thawed {
		frozen.gate.Unlock()
	}
	policy, at := exchangePolicy(len(c.nodes)-1), fmt.Sprintf("%d nodes, one frozen for 2 s, ", len(c.nodes)-1)
	emit(policy, at+"nodes that suspect it", countTrue(suspects), "nodes")
	emit(policy, at+"nodes that remove it", countTrue(removed), "nodes")
	emit(policy, at+"failed probes of live instances", c.sumCounters("health.probe_failures")-failures, "probes")
}

// measureRootFreeze pauses the first node, the root of the relay tree, and emits the
// lowest coverage at the other nodes during the pause.
func (c *cluster) measureRootFreeze(emit Emit) {
	others := *c
	others.nodes = c.nodes[1:]
	c.nodes[0].gate.Lock()
	members, evidence := 1.0, 1.0
	for started := time.Now(); time.Since(started) < rootFreezeDuration && c.ctx.Err() == nil; pause(c.ctx, pollInterval) {
		m, e := others.coverage()
		members, evidence = min(members, m), min(evidence, e)
	}
	c.nodes[0].gate.Unlock()
	policy, at := exchangePolicy(len(c.nodes)-1), fmt.Sprintf("%d nodes, the first one frozen for 6 s, lowest mean of ", len(c.nodes)-1)
	emit(policy, at+"members seen as serving by the others", 100*members, "%")
	emit(policy, at+"instances with fresh evidence at the others", 100*evidence, "%")
	pause(c.ctx, thawObservation)
}

// memberState returns the state of a member in n's member list, and whether n lists it.
func memberState(n *controlNode, name string) (fleet.NodeState, bool) {
	for _, m := range n.board.Members.Load().All {
		if m.Node == name {
			return m.State, true
		}
	}
	return "", false
}

// countTrue returns the number of true values in set.
func countTrue(set map[string]bool) (count float64) {
	for _, v := range set {
		if v {
			count++
		}
	}
	return count
}

// measureDeath stops a node without notice to its peers and reports the time until no
// other node lists it.
func (c *cluster) measureDeath(report func(string, time.Duration, bool)) {
	last := len(c.nodes) - 1
	dead := c.nodes[last]
	started := time.Now()
	dead.stop()
	c.nodes = c.nodes[:last]
	_, ok := c.waitUntil(deathTimeout, func(n *controlNode) bool { return !n.hasMember(dead.name) })
	report("death of a node", time.Since(started), ok)
}
