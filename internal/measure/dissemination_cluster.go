package measure

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/placement"
	"github.com/rattanlanding/rattanlanding/replica"
)

// Sizes of a cluster. Up to 16 nodes it has the engines of a present deployment, above
// that as many engines per node as the design point.
const (
	smallClusterGroups = 8
	enginesPerNode     = 600.0 / designNodes
	seedNodes          = 3
	pollInterval       = 10 * time.Millisecond
)

// clusterGroups returns the number of groups of 8 instances for a number of nodes.
func clusterGroups(nodes int) int {
	if nodes <= peer.FullMeshMembers {
		return smallClusterGroups
	}
	return max(1, int(float64(nodes)*enginesPerNode/groupSize+0.5))
}

// cluster is a set of control nodes with fake engines and an in-memory platform.
type cluster struct {
	ctx     context.Context
	engines *fakeEngines
	store   *object.Memory
	config  *fleet.Configuration
	version object.Version
	list    *staticInstances
	domains int
	seeds   []string
	nodes   []*controlNode
}

// startCluster starts a cluster whose nodes all start at the same time.
func startCluster(ctx context.Context, nodes int) (*cluster, error) {
	groups := clusterGroups(nodes)
	c := &cluster{ctx: ctx, store: object.NewMemory(), config: capacityConfiguration(groups, 10, 2), domains: 3}
	if nodes > peer.FullMeshMembers {
		c.domains = designDomains
	}
	var err error
	if c.engines, err = startEngines(groups * groupSize); err != nil {
		return nil, err
	}
	if err := c.fillPlatform(groups); err != nil {
		return c, err
	}
	listeners := make([]net.Listener, nodes)
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return c, err
		}
		if i < seedNodes {
			c.seeds = append(c.seeds, listeners[i].Addr().String())
		}
	}
	for _, listener := range listeners {
		if err := c.add(listener); err != nil {
			return c, err
		}
	}
	return c, nil
}

// fillPlatform stores the configuration and the placements.
func (c *cluster) fillPlatform(groups int) error {
	if err := c.writeConfiguration(); err != nil {
		return err
	}
	placements := capacityPlacements(groups, groupSize, func(i int) string { return c.engines.addresses[i] })
	c.list = &staticInstances{list: fleet.InstanceList{Version: 1}}
	for i := range placements {
		p := &placements[i]
		body, err := json.Marshal(p)
		if err != nil {
			return err
		}
		if _, err := c.store.Update(c.ctx, object.Key{Kind: placement.Kind, Name: p.FabricDomain}, 0, body); err != nil {
			return err
		}
		for g := range p.Groups {
			for _, m := range p.Groups[g].Members {
				c.list.list.Instances = append(c.list.list.Instances, capacityInstance(m, p.FabricDomain))
			}
		}
	}
	return c.engines.fill(placements)
}

// writeConfiguration stores the current configuration as the next version.
func (c *cluster) writeConfiguration() error {
	body, err := json.Marshal(c.config)
	if err != nil {
		return err
	}
	c.version, err = c.store.Update(c.ctx, replica.ConfigurationKey, c.version, body)
	return err
}

// add starts one more node.
func (c *cluster) add(listener net.Listener) error {
	n, err := startNode(c.ctx, nodeSpec{index: len(c.nodes), domains: c.domains, seeds: c.seeds,
		listener: listener, store: c.store, list: c.list})
	if err == nil {
		c.nodes = append(c.nodes, n)
	}
	return err
}

// close stops all nodes and engines.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		n.stop()
	}
	c.engines.close()
}

// waitUntil waits until holds is true for every node, for at most limit. It returns
// the time that passed; ok reports whether the condition held.
func (c *cluster) waitUntil(limit time.Duration, holds func(n *controlNode) bool) (took time.Duration, ok bool) {
	started := time.Now()
	for c.ctx.Err() == nil {
		missing := 0
		for _, n := range c.nodes {
			if !holds(n) {
				missing++
			}
		}
		took = time.Since(started)
		if missing == 0 {
			return took, true
		}
		if took >= limit {
			return took, false
		}
		time.Sleep(pollInterval)
	}
	return time.Since(started), false
}

// waitSettled waits until all nodes list each other and have the configuration.
func (c *cluster) waitSettled(limit time.Duration) (time.Duration, bool) {
	return c.waitUntil(limit, func(n *controlNode) bool {
		return len(n.board.Members.Load().All) == len(c.nodes) && n.board.Configuration.Load() != nil
	})
}

// coverage returns two fractions, each as the mean over all nodes: the members that
// a node lists as serving, and the instances for which it has evidence within its
// time-to-live.
func (c *cluster) coverage() (members, instances float64) {
	for _, n := range c.nodes {
		members += float64(len(n.board.Members.Load().Serving())) / float64(len(c.nodes))
		fresh := len(n.table.Observations(2500 * time.Millisecond))
		instances += float64(fresh) / float64(len(c.engines.addresses))
	}
	return members / float64(len(c.nodes)), instances / float64(len(c.nodes))
}
