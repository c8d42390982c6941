package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/release"
)

const (
	// gracefulStopTimeout limits the time from SIGTERM to the exit of a process.
	gracefulStopTimeout = 30 * time.Second
	// leavingDelay is the time from marking a plain server as leaving to its SIGTERM.
	// It is the bound of requirement R6 (see LeavingBound).
	leavingDelay = 5 * time.Second
	// gracefulAddressTTL is the setting addressTtl, the time for which callers use a
	// list of node addresses. It is short to keep the run short.
	gracefulAddressTTL = "2s"
)

// proveGraceful restarts every daemon in turn under load, while a plain server and
// an engine are stopped and a group is withdrawn and added again.
func proveGraceful(t *testing.T, p *proofRun) Result {
	spec := answersSpec(p)
	spec.bounds = map[string]string{"addressTtl": gracefulAddressTTL}
	c := p.start(t, spec)
	for i := range c.spec.nodes {
		c.requireEventually("every node", func() bool { return c.nodeReady(i) })
	}
	w := &workload{cluster: c, seed: p.seed, maxAttempts: 1, maxTokens: 100, pause: 20 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.completions(ctx, 12)
	w.calls(ctx, 6, 0)
	pause(ctx, time.Second)
	stops := []func(*rand.Rand){c.stopServer, c.stopEngine, c.withdrawGroup}
	p.random.Shuffle(len(stops), func(i, j int) { stops[i], stops[j] = stops[j], stops[i] })
	others := rand.New(rand.NewPCG(p.random.Uint64(), 0))
	var group sync.WaitGroup
	group.Go(func() {
		for _, stop := range stops {
			stop(others)
			pause(ctx, between(others, faultGap))
		}
	})
	for _, i := range p.random.Perm(c.spec.nodes) {
		c.replaceNode(i)
	}
	group.Wait()
	pause(ctx, time.Second)
	cancel()
	w.wait()
	return CheckGraceful(c.history())
}

// nodeReady reports whether a node serves and reports all nodes as serving.
func (c *cluster) nodeReady(i int) bool {
	status, err := c.status(i)
	if err != nil || !status.Confirmation.Serving {
		return false
	}
	serving := 0
	for _, m := range status.Members {
		if m.State == fleet.NodeServing {
			serving++
		}
	}
	return serving == c.spec.nodes
}

// recordStop runs do and records it as a planned stop; do reports whether the stop
// was clean.
func (c *cluster) recordStop(kind, target string, do func() bool) {
	ended := c.recorder.StartFault(kind, target)
	clean := do()
	c.recorder.AddStop(Stop{Kind: kind, Target: target, At: time.Now(), Clean: clean})
	ended()
}

// replaceNode stops a daemon with SIGTERM, starts it again and waits until it is
// ready.
func (c *cluster) replaceNode(i int) {
	c.recordStop("stop node", fmt.Sprint(i), func() bool { return c.node(i).terminate(gracefulStopTimeout) })
	c.startNode(i)
	c.eventually(func() bool { return c.nodeReady(i) })
}

// eventually waits until the condition is met and reports whether this happened
// within readyTimeout.
func (c *cluster) eventually(condition func() bool) bool {
	end := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// stopServer marks a plain server as leaving, waits for leavingDelay, stops it and
// starts it again.
func (c *cluster) stopServer(random *rand.Rand) {
	i := random.IntN(c.spec.servers)
	c.recordStop("stop server", c.serverID(i), func() bool {
		c.control(c.serverAddress(i), "/control/leave", nil)
		time.Sleep(leavingDelay)
		return c.server(i).terminate(gracefulStopTimeout)
	})
	c.startServer(i)
}

// stopEngine marks the rank 0 engine of a group as leaving, waits until it has been
// released from its role, stops it and starts it again.
func (c *cluster) stopEngine(random *rand.Rand) {
	d, i := c.drawRankZero(random)
	c.recordStop("stop engine", c.engineID(d, i), func() bool {
		address := c.engineAddress(d, i)
		c.control(address, "/control/leave", nil)
		released := c.eventually(func() bool {
			report, err := c.fetchReport(address)
			return err == nil && report.Group == "" && report.Running == 0
		})
		return released && c.engine(c.engineID(d, i)).terminate(gracefulStopTimeout)
	})
	c.startEngine(d, i)
}

// withdrawGroup withdraws a group by a release note, waits until no engine has a
// role in it and adds it again.
func (c *cluster) withdrawGroup(random *rand.Rand) {
	group := fleet.Group{
		Name: fmt.Sprintf("g%d-%d", random.IntN(2), random.IntN(c.spec.groups)),
		Size: c.spec.groupSize, Service: c.spec.deployment.model,
	}
	for d := range 2 {
		if group.Name[1] == byte('0'+d) {
			group.FabricDomain = c.fabricDomain(d)
		}
	}
	c.recordStop("withdraw group", group.Name, func() bool {
		note := release.Note{ID: "withdraw"}
		note.Withdrawn.Groups = []string{group.Name}
		return c.applyNoteAnywhere(note) && c.eventually(func() bool { return !c.anyEngineIn(group.Name) })
	})
	note := release.Note{ID: "add-again"}
	note.Added.Groups = []fleet.Group{group}
	if !c.applyNoteAnywhere(note) {
		c.t.Errorf("group %s was not added again within %s", group.Name, readyTimeout)
	}
}

// anyEngineIn reports whether an engine that can be reached has a role in the group.
func (c *cluster) anyEngineIn(group string) bool {
	for _, address := range c.backendAddresses(true, false) {
		if report, err := c.fetchReport(address); err == nil && report.Group == group {
			return true
		}
	}
	return false
}

// applyNoteAnywhere tries to apply the note through each node in turn until one
// accepts it. It reports whether this happened within readyTimeout.
func (c *cluster) applyNoteAnywhere(note release.Note) bool {
	return c.eventually(func() bool {
		for i := range c.spec.nodes {
			status, err := c.status(i)
			if err != nil {
				continue
			}
			note.Base = status.Revision
			if _, err := c.applyNote(i, note); err == nil {
				return true
			}
		}
		return false
	})
}
