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

// measureEventsAt emits the time until every node knows of each event.
func measureEventsAt(ctx context.Context, nodes int, emit Emit) error {
	c, err := startCluster(ctx, nodes)
	if err != nil {
		return err
	}
	defer c.close()
	c.settle(settleLimit)
	time.Sleep(time.Second)
	report := func(event string, took time.Duration, ok bool) {
		name := fmt.Sprintf("%d nodes, %s known to all", nodes, event)
		if !ok {
			name += " (not reached in this time)"
		}
		emit(policyOf(nodes), name, took.Seconds(), "s")
	}
	if err := c.revision(report); err != nil {
		return err
	}
	c.loss(report, emit)
	if err := c.join(report); err != nil {
		return err
	}
	c.freeze(emit)
	c.freezeFirst(emit)
	c.death(report)
	return nil
}

// revision accepts a new configuration at the platform.
func (c *cluster) revision(report func(string, time.Duration, bool)) error {
	c.config.Revision++
	if err := c.writeConfiguration(); err != nil {
		return err
	}
	took, ok := c.until(eventLimit, func(n *controlNode) bool {
		return n.board.Configuration.Load().Revision == c.config.Revision
	})
	report("new configuration revision", took, ok)
	return nil
}

// loss breaks an engine that every node has evidence for, as far as possible, and
// emits the peer bytes that this costs while the engine stays down.
func (c *cluster) loss(report func(string, time.Duration, bool), emit Emit) {
	lost := c.list.list.Instances[0]
	var down *atomic.Bool
	for i, a := range c.engines.addresses {
		if a == lost.Address {
			down = &c.engines.lost[i]
		}
	}
	down.Store(true)
	took, ok := c.until(eventLimit, func(n *controlNode) bool {
		_, known := n.table.Get(lost.ID)
		return !known
	})
	report("loss of an instance (probe interval included)", took, ok)
	// The first announcements are repeated in messages for 3 s.
	pause(c.ctx, lossSettle)
	broken := c.sentRate()
	down.Store(false)
	pause(c.ctx, lossSettle)
	name := fmt.Sprintf("%d nodes, peer bytes sent by all because one instance stays down", len(c.nodes))
	emit(policyOf(len(c.nodes)), name, broken-c.sentRate(), "B/s")
}

// sentRate returns the peer bytes that all nodes send in a second.
func (c *cluster) sentRate() float64 {
	before, started := c.sum(peer.MetricBytesSent), time.Now()
	pause(c.ctx, trafficWindow)
	return (c.sum(peer.MetricBytesSent) - before) / time.Since(started).Seconds()
}

// join starts one more node.
func (c *cluster) join(report func(string, time.Duration, bool)) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if err := c.add(listener); err != nil {
		return err
	}
	joined := c.nodes[len(c.nodes)-1]
	took, ok := c.until(eventLimit, func(n *controlNode) bool { return n.lists(joined.name) })
	report("join of a node", took, ok)
	return nil
}

// freeze stops one node for 2 s and counts what the others wrongly take for
// failed.
func (c *cluster) freeze(emit Emit) {
	frozen := c.nodes[len(c.nodes)/2]
	failures := c.sum("health.probe_failures")
	suspects, removed := map[string]bool{}, map[string]bool{}
	frozen.frozen.Lock()
	started, thawed := time.Now(), false
	for time.Since(started) < freezeTime+freezeWatch && c.ctx.Err() == nil {
		if !thawed && time.Since(started) >= freezeTime {
			frozen.frozen.Unlock()
			thawed = true
		}
		for _, n := range c.nodes {
			state, known := stateOf(n, frozen.name)
			suspects[n.name] = suspects[n.name] || n != frozen && state == fleet.NodeSuspect
			removed[n.name] = removed[n.name] || n != frozen && !known
		}
		time.Sleep(observeInterval)
	}
	if !thawed {
		frozen.frozen.Unlock()
	}
	policy, at := policyOf(len(c.nodes)-1), fmt.Sprintf("%d nodes, one frozen for 2 s, ", len(c.nodes)-1)
	emit(policy, at+"nodes that suspect it", countTrue(suspects), "nodes")
	emit(policy, at+"nodes that remove it", countTrue(removed), "nodes")
	emit(policy, at+"failed probes of live instances", c.sum("health.probe_failures")-failures, "probes")
}

// freezeFirst stops the first node, the root of the relay tree, and emits the
// lowest coverage of the others meanwhile and after it.
func (c *cluster) freezeFirst(emit Emit) {
	others := *c
	others.nodes = c.nodes[1:]
	c.nodes[0].frozen.Lock()
	members, evidence := 1.0, 1.0
	for started := time.Now(); time.Since(started) < rootFreezeTime && c.ctx.Err() == nil; pause(c.ctx, observeInterval) {
		m, e := others.coverage()
		members, evidence = min(members, m), min(evidence, e)
	}
	c.nodes[0].frozen.Unlock()
	policy, at := policyOf(len(c.nodes)-1), fmt.Sprintf("%d nodes, the first one frozen for 6 s, lowest mean of ", len(c.nodes)-1)
	emit(policy, at+"members seen as serving by the others", 100*members, "%")
	emit(policy, at+"instances with fresh evidence at the others", 100*evidence, "%")
	pause(c.ctx, freezeWatch)
}

// stateOf returns a member's state as n sees it.
func stateOf(n *controlNode, name string) (fleet.NodeState, bool) {
	for _, m := range n.board.Members.Load().All {
		if m.Node == name {
			return m.State, true
		}
	}
	return "", false
}

func countTrue(set map[string]bool) (count float64) {
	for _, v := range set {
		if v {
			count++
		}
	}
	return count
}

// death stops a node without a word.
func (c *cluster) death(report func(string, time.Duration, bool)) {
	last := len(c.nodes) - 1
	dead := c.nodes[last]
	started := time.Now()
	dead.stop()
	c.nodes = c.nodes[:last]
	_, ok := c.until(deathLimit, func(n *controlNode) bool { return !n.lists(dead.name) })
	report("death of a node", time.Since(started), ok)
}
