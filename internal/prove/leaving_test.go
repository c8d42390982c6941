package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
)

const (
	// leavingRunDuration is the time for which a run applies load and faults.
	leavingRunDuration = 24 * time.Second
	// faultLeave marks a backend server as leaving in its own report and in the
	// instance list.
	faultLeave = "leave"
	// faultListedLeaving marks it as leaving in the instance list only.
	faultListedLeaving = "listed as leaving"
)

// proveLeaving makes servers and engines leave, under load at each node and while
// nodes fail.
func proveLeaving(t *testing.T, p *proofRun) Result {
	c := p.start(t, clusterSpec{
		deployment: p.deployment(), nodes: 4, groups: 1, engines: 5, groupSize: 2, servers: 3, tokensPerSecond: 200,
		listLagMs: 300,
	})
	ctx, cancel := context.WithTimeout(context.Background(), leavingRunDuration)
	defer cancel()
	load := nodeLoad{cluster: c, seed: p.seed, clients: 4, maxTokens: 30, plainCalls: true, pause: 20 * time.Millisecond}
	load.start(ctx)
	var group sync.WaitGroup
	group.Go(func() { repeatLeaving(ctx, c, rand.New(rand.NewPCG(p.seed, 40)), drawServer) })
	group.Go(func() { repeatLeaving(ctx, c, rand.New(rand.NewPCG(p.seed, 41)), drawMember) })
	faults := schedule{
		cluster: c, random: p.random, gap: [2]time.Duration{300 * time.Millisecond, time.Second}, maxSingles: 1,
		kinds: []faultKind{killNode, freezeNode, cutNodeFromPlatform},
	}
	faults.run(ctx)
	group.Wait()
	load.wait()
	h := c.history()
	r := CheckLeaving(h)
	r.RequireFaults(h, faultLeave, faultListedLeaving, "kill node", "freeze node", "cut node from platform")
	return r
}

// drawServer returns the instance ID of a random plain server.
func drawServer(c *cluster, random *rand.Rand) string { return c.serverID(random.IntN(c.spec.servers)) }

// drawMember returns the instance ID of a random group member that is not under a
// fault, or an empty string if there is none.
func drawMember(c *cluster, random *rand.Rand) string {
	id := c.reserveMember(random, false)
	c.unreserve(id)
	return id
}

// repeatLeaving makes one backend server after another leave for longer than the
// bound and then restarts it. Every second one is marked as leaving in the instance
// list only.
func repeatLeaving(ctx context.Context, c *cluster, random *rand.Rand, draw func(*cluster, *rand.Rand) string) {
	for n := random.IntN(2); ctx.Err() == nil; n++ {
		pause(ctx, between(random, [2]time.Duration{500 * time.Millisecond, 2 * time.Second}))
		id := draw(c, random)
		if id == "" || ctx.Err() != nil {
			continue
		}
		entry, kind := c.registeredInstance(id), faultLeave
		if n%2 == 0 {
			c.control(entry.Address, "/control/leave", nil)
		} else {
			kind, entry.State = faultListedLeaving, fleet.InstanceLeaving
			c.changeInstanceList(standin.InstanceChange{Put: []fleet.Instance{entry}})
		}
		recordEnd := c.recorder.StartFault(kind, id)
		pause(ctx, between(random, [2]time.Duration{LeavingBound + 1500*time.Millisecond, LeavingBound + 3*time.Second}))
		recordEnd()
		c.restart(id)
	}
}

// restart kills the process of an engine or plain server and starts it again,
// without its previous state.
func (c *cluster) restart(id string) {
	if n, ok := strings.CutPrefix(id, "s-"); ok {
		c.mu.Lock()
		p := c.servers[id]
		c.mu.Unlock()
		p.kill()
		var i int
		_, _ = fmt.Sscan(n, &i)
		c.startServer(i)
		return
	}
	c.engine(id).kill()
	c.startEngine(parseEngineID(id))
}
