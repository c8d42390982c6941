package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// oneGroupRunDuration is the time for which a run applies load and faults.
const oneGroupRunDuration = 28 * time.Second

// proveOneGroup suspends and kills the holders of shards and sends stale commands,
// while release notes move instances between groups.
func proveOneGroup(t *testing.T, p *proofRun) Result {
	c := p.start(t, clusterSpec{
		deployment: p.deployment(), nodes: 4, groups: 2, engines: 6, groupSize: 2, tokensPerSecond: 200, ignoreFencing: true,
		bounds: map[string]string{"repairDelay": "2s"},
	})
	ctx, cancel := context.WithTimeout(context.Background(), oneGroupRunDuration)
	defer cancel()
	load := nodeLoad{cluster: c, seed: p.seed, clients: 3, maxTokens: 60, pause: 30 * time.Millisecond}
	load.start(ctx)
	var group sync.WaitGroup
	group.Go(func() { sendStaleCommands(ctx, c, rand.New(rand.NewPCG(p.seed, 20))) })
	for d := range 2 {
		group.Go(func() { moveGroups(ctx, c, d, rand.New(rand.NewPCG(p.seed, uint64(30+d)))) })
	}
	faults := schedule{
		cluster: c, random: p.random, gap: [2]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}, maxSingles: 1,
		kinds: []faultKind{
			freezeShardHolder, killShardHolder, withDuration(platformLosesAnswers, 3*time.Second, 6*time.Second),
			withDuration(platformDown, 2*time.Second, 5*time.Second), removeFromInstanceList,
			withDuration(freezeEngine, 4*time.Second, 6*time.Second), withDuration(killEngine, 4*time.Second, 6*time.Second),
		},
	}
	faults.run(ctx)
	group.Wait()
	load.wait()
	h := c.history()
	r := CheckOneGroup(h)
	r.RequireFaults(h, "freeze holder", "kill holder", "platform loses answers", "platform down",
		"instance list wrong", FaultFreezeEngine, FaultKillEngine, faultStaleCommand)
	requireMoves(h, &r)
	return r
}

// faultStaleCommand is the kind of fault recorded for a stale command that an engine
// accepted.
const faultStaleCommand = "late command"

// sendStaleCommands sends commands that a previous lease holder might have sent:
// roles from past placements of both fabric domains, to engines that were members
// at that time and to others.
func sendStaleCommands(ctx context.Context, c *cluster, random *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, between(random, [2]time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}))
		d := random.IntN(2)
		id := c.engineID(d, random.IntN(c.spec.engines))
		events, err := ReadEvents(c.eventsFile("platform"))
		if err != nil {
			c.t.Error(err)
			return
		}
		var past []fleet.Command
		for _, w := range placementWrites(&History{Events: events}, &Result{}) {
			for _, g := range w.placement.Groups {
				if w.placement.FabricDomain != c.fabricDomain(d) {
					continue
				}
				command := fleet.Command{Group: g.Name, Generation: g.Generation, Rank: random.IntN(len(g.Members)),
					Size: len(g.Members), Service: g.Service, Version: g.Version}
				for rank, m := range g.Members {
					command.Members = append(command.Members, m.Address)
					if m.Instance == id {
						command.Rank = rank
					}
				}
				past = append(past, command)
			}
		}
		if len(past) == 0 {
			continue
		}
		command := past[random.IntN(len(past))]
		c.recorder.AddInjection(Injection{At: time.Now(), Instance: id, Command: command})
		if c.send(http.MethodPut, c.engineAddressByID(id), "/v1/role", command) == http.StatusOK {
			c.recorder.StartFault(faultStaleCommand, id)()
		}
	}
}

// moveGroups repeatedly withdraws a group of a fabric domain and adds another one in
// the same release note, so that instances move between groups.
func moveGroups(ctx context.Context, c *cluster, d int, random *rand.Rand) {
	present := fmt.Sprintf("g%d-1", d)
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, between(random, [2]time.Duration{2 * time.Second, 4 * time.Second}))
		node := random.IntN(c.spec.nodes)
		status, err := c.status(node)
		if err != nil {
			continue
		}
		next := fmt.Sprintf("g%d-x%d", d, n)
		note := release.Note{ID: "move-" + next, Base: status.Revision}
		note.Withdrawn.Groups = []string{present}
		note.Added.Groups = []fleet.Group{{
			Name: next, Service: c.spec.deployment.model, Size: c.spec.groupSize, FabricDomain: c.fabricDomain(d),
		}}
		for ctx.Err() == nil {
			o := c.submitNote(100+d, node, note)
			if o.OK {
				present = next
			}
			if o.OK || o.Verdict == verdict.NotRun {
				break
			}
			node = random.IntN(c.spec.nodes)
			pause(ctx, 200*time.Millisecond)
		}
	}
}

// requireMoves adds a violation if no instance moved from one group to another.
func requireMoves(h *History, r *Result) {
	last := map[string]string{}
	for _, w := range placementWrites(h, r) {
		for _, g := range w.placement.Groups {
			for _, m := range g.Members {
				if before := last[m.Instance]; before != "" && before != g.Name {
					return
				}
				last[m.Instance] = g.Name
			}
		}
	}
	r.Fail("no instance moved from one group to another")
}
