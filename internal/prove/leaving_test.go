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
	leavingRun = 24 * time.Second
	// faultLeave tells both the list and the server's own report.
	faultLeave = "leave"
	// faultListedLeaving tells the list alone.
	faultListedLeaving = "listed as leaving"
)

// proveLeaving lets servers and engines leave under load at each node.
func proveLeaving(t *testing.T, p *proofRun) Result {
	c := p.start(t, clusterSpec{
		deployment: p.deployment(), nodes: 4, groups: 1, engines: 5, size: 2, servers: 3, tokensPerSecond: 200,
		listLagMs: 300,
	})
	ctx, cancel := context.WithTimeout(context.Background(), leavingRun)
	defer cancel()
	load := nodeLoad{cluster: c, seed: p.seed, clients: 4, maxTokens: 30, plain: true, pause: 20 * time.Millisecond}
	load.start(ctx)
	var group sync.WaitGroup
	group.Go(func() { leaveAgain(ctx, c, rand.New(rand.NewPCG(p.seed, 40)), drawServer) })
	group.Go(func() { leaveAgain(ctx, c, rand.New(rand.NewPCG(p.seed, 41)), drawMember) })
	faults := schedule{
		cluster: c, random: p.random, rest: [2]time.Duration{300 * time.Millisecond, time.Second}, singles: 1,
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

func drawServer(c *cluster, random *rand.Rand) string { return c.serverID(random.IntN(c.spec.servers)) }

func drawMember(c *cluster, random *rand.Rand) string {
	id := c.takeMember(random, false)
	c.release(id)
	return id
}

// leaveAgain lets one backend server after the other leave for longer than the
// bound, and then start anew. Half of them do not know that they leave.
func leaveAgain(ctx context.Context, c *cluster, random *rand.Rand, draw func(*cluster, *rand.Rand) string) {
	for n := random.IntN(2); ctx.Err() == nil; n++ {
		pause(ctx, between(random, [2]time.Duration{500 * time.Millisecond, 2 * time.Second}))
		id := draw(c, random)
		if id == "" || ctx.Err() != nil {
			continue
		}
		entry, kind := c.entry(id), faultLeave
		if n%2 == 0 {
			c.control(entry.Address, "/control/leave", nil)
		} else {
			kind, entry.State = faultListedLeaving, fleet.InstanceLeaving
			c.changeList(standin.InstanceChange{Put: []fleet.Instance{entry}})
		}
		mended := c.recorder.Fault(kind, id)
		pause(ctx, between(random, [2]time.Duration{LeavingBound + 1500*time.Millisecond, LeavingBound + 3*time.Second}))
		mended()
		c.restart(id)
	}
}

// restart kills the process of an engine or server and starts it anew, with
// nothing remembered.
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
	c.startEngine(number(id))
}
