package prove

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// registeredInstance returns the entry of the instance list with which a stand-in
// registers the engine or plain server.
func (c *cluster) registeredInstance(id string) fleet.Instance {
	deployment := c.spec.deployment
	e := fleet.Instance{ID: id, Region: deployment.region, State: fleet.InstanceLive}
	if n, ok := strings.CutPrefix(id, "s-"); ok {
		var i int
		_, _ = fmt.Sscan(n, &i)
		e.Address, e.Pool, e.FailureDomain = c.serverAddress(i), deployment.plainService, deployment.domains[i%3]
		return e
	}
	d, _ := parseEngineID(id)
	e.Address, e.Pool, e.Accelerators = c.engineAddressByID(id), deployment.model, 8
	e.FailureDomain, e.FabricDomain = deployment.domains[d], c.fabricDomain(d)
	return e
}

// changeInstanceList applies a change to the platform's instance list.
func (c *cluster) changeInstanceList(change standin.InstanceChange) {
	c.send(http.MethodPut, c.platformAddress(), "/control/instances", change)
}

// removeFromInstanceList removes a random half of the engines from the instance list
// although they still run.
func removeFromInstanceList(c *cluster, random *rand.Rand) fault {
	var ids []string
	for d := range 2 {
		for i := range c.spec.engines {
			if random.IntN(2) == 0 {
				ids = append(ids, c.engineID(d, i))
			}
		}
	}
	return fault{
		kind: "instance list wrong", target: strings.Join(ids, " "), duration: [2]time.Duration{3 * time.Second, 6 * time.Second},
		begin: func() { c.changeInstanceList(standin.InstanceChange{Remove: ids}) },
		end: func() {
			var put []fleet.Instance
			for _, id := range ids {
				put = append(put, c.registeredInstance(id))
			}
			c.changeInstanceList(standin.InstanceChange{Put: put})
		},
	}
}

// shardHolder returns the node that reports that it holds the shard of a random
// fabric domain, or a random node if none does.
func (c *cluster) shardHolder(random *rand.Rand) int {
	shard := placementPrefix + c.fabricDomain(random.IntN(2))
	other := random.IntN(c.spec.nodes)
	for i := range c.spec.nodes {
		if status, err := c.status(i); err == nil && slices.Contains(status.Shards, shard) {
			return i
		}
	}
	return other
}

// freezeShardHolder suspends the holder of a shard for longer than its lease.
func freezeShardHolder(c *cluster, random *rand.Rand) fault {
	i := c.shardHolder(random)
	var p *process
	return fault{
		kind: "freeze holder", target: fmt.Sprint(i), duration: [2]time.Duration{5 * time.Second, 6 * time.Second},
		begin: func() { p = c.node(i); p.freeze() },
		end:   func() { p.thaw() },
	}
}

// killShardHolder kills the holder of a shard and starts it again.
func killShardHolder(c *cluster, random *rand.Rand) fault {
	i := c.shardHolder(random)
	return fault{
		kind: "kill holder", target: fmt.Sprint(i), duration: [2]time.Duration{time.Second, 5 * time.Second},
		begin: func() { c.node(i).kill() },
		end:   func() { c.startNode(i) },
	}
}
