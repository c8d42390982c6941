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

// entry returns an instance as its stand-in registers it.
func (c *cluster) entry(id string) fleet.Instance {
	deployment := c.spec.deployment
	e := fleet.Instance{ID: id, Region: deployment.region, State: fleet.InstanceLive}
	if n, ok := strings.CutPrefix(id, "s-"); ok {
		var i int
		_, _ = fmt.Sscan(n, &i)
		e.Address, e.Pool, e.FailureDomain = c.serverAddress(i), deployment.plain, deployment.domains[i%3]
		return e
	}
	d, _ := number(id)
	e.Address, e.Pool, e.Accelerators = c.address(id), deployment.model, 8
	e.FailureDomain, e.FabricDomain = deployment.domains[d], c.fabricDomain(d)
	return e
}

// changeList changes the platform's instance list.
func (c *cluster) changeList(change standin.InstanceChange) {
	c.send(http.MethodPut, c.platformAddress(), "/control/instances", change)
}

// listWrong removes some engines from the instance list for a while.
func listWrong(c *cluster, random *rand.Rand) fault {
	var ids []string
	for d := range 2 {
		for i := range c.spec.engines {
			if random.IntN(2) == 0 {
				ids = append(ids, c.engineID(d, i))
			}
		}
	}
	return fault{
		kind: "instance list wrong", target: strings.Join(ids, " "), hold: [2]time.Duration{3 * time.Second, 6 * time.Second},
		begin: func() { c.changeList(standin.InstanceChange{Remove: ids}) },
		end: func() {
			var put []fleet.Instance
			for _, id := range ids {
				put = append(put, c.entry(id))
			}
			c.changeList(standin.InstanceChange{Put: put})
		},
	}
}

// holder returns the node that says it holds the shard of a fabric domain, or
// any.
func (c *cluster) holder(random *rand.Rand) int {
	shard := placementPrefix + c.fabricDomain(random.IntN(2))
	other := random.IntN(c.spec.nodes)
	for i := range c.spec.nodes {
		if status, err := c.status(i); err == nil && slices.Contains(status.Shards, shard) {
			return i
		}
	}
	return other
}

// freezeHolder stops the holder of a shard for longer than its lease.
func freezeHolder(c *cluster, random *rand.Rand) fault {
	i := c.holder(random)
	var p *process
	return fault{
		kind: "freeze holder", target: fmt.Sprint(i), hold: [2]time.Duration{5 * time.Second, 6 * time.Second},
		begin: func() { p = c.node(i); p.freeze() },
		end:   func() { p.thaw() },
	}
}

// killHolder kills the holder of a shard and starts it anew.
func killHolder(c *cluster, random *rand.Rand) fault {
	i := c.holder(random)
	return fault{
		kind: "kill holder", target: fmt.Sprint(i), hold: [2]time.Duration{time.Second, 5 * time.Second},
		begin: func() { c.node(i).kill() },
		end:   func() { c.startNode(i) },
	}
}
