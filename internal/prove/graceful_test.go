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
	// stopLimit bounds the end of a process after SIGTERM.
	stopLimit = 30 * time.Second
	// leaveWait is the time between the leaving mark of a back end and its
	// SIGTERM: the bound of R6.
	leaveWait = 5 * time.Second
	// gracefulTTL is the time to live of address answers, short to keep the run
	// short.
	gracefulTTL = "2s"
)

// proveGraceful replaces every daemon in turn under load while back ends stop
// and a group is withdrawn and added again.
func proveGraceful(t *testing.T, p *proofRun) Result {
	spec := answersSpec(p)
	spec.bounds = map[string]string{"addressTtl": gracefulTTL}
	c := p.start(t, spec)
	for i := range c.spec.nodes {
		c.await("every node", func() bool { return c.ready(i) })
	}
	w := &workload{cluster: c, seed: p.seed, attempts: 1, maxTokens: 100, pause: 20 * time.Millisecond}
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
			pause(ctx, between(others, rests))
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

// ready tells whether a node serves and sees every group and node.
func (c *cluster) ready(i int) bool {
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

// planned records a planned stop around do, which tells whether it ended well.
func (c *cluster) planned(kind, target string, do func() bool) {
	ended := c.recorder.Fault(kind, target)
	clean := do()
	c.recorder.Stop(Stop{Kind: kind, Target: target, At: time.Now(), Clean: clean})
	ended()
}

// replaceNode stops a daemon with SIGTERM and starts it anew.
func (c *cluster) replaceNode(i int) {
	c.planned("stop node", fmt.Sprint(i), func() bool { return c.node(i).terminate(stopLimit) })
	c.startNode(i)
	c.eventually(func() bool { return c.ready(i) })
}

// eventually waits for a condition, at most readyTimeout.
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

// stopServer marks a plain server as leaving, waits and stops it.
func (c *cluster) stopServer(random *rand.Rand) {
	i := random.IntN(c.spec.servers)
	c.planned("stop server", c.serverID(i), func() bool {
		c.control(c.serverAddress(i), "/control/leave", nil)
		time.Sleep(leaveWait)
		return c.server(i).terminate(stopLimit)
	})
	c.startServer(i)
}

// stopEngine marks the engine that holds a group's requests as leaving, waits
// until its role is released and stops it.
func (c *cluster) stopEngine(random *rand.Rand) {
	d, i := c.rankZero(random)
	c.planned("stop engine", c.engineID(d, i), func() bool {
		address := c.engineAddress(d, i)
		c.control(address, "/control/leave", nil)
		released := c.eventually(func() bool {
			report, err := c.report(address)
			return err == nil && report.Group == "" && report.Running == 0
		})
		return released && c.engine(c.engineID(d, i)).terminate(stopLimit)
	})
	c.startEngine(d, i)
}

// withdrawGroup withdraws a group by a release note, waits until no engine has
// it and adds it again.
func (c *cluster) withdrawGroup(random *rand.Rand) {
	group := fleet.Group{
		Name: fmt.Sprintf("g%d-%d", random.IntN(2), random.IntN(c.spec.groups)),
		Size: c.spec.size, Service: c.spec.deployment.model,
	}
	for d := range 2 {
		if group.Name[1] == byte('0'+d) {
			group.FabricDomain = c.fabricDomain(d)
		}
	}
	c.planned("withdraw group", group.Name, func() bool {
		note := release.Note{ID: "withdraw"}
		note.Withdrawn.Groups = []string{group.Name}
		return c.applyAnywhere(note) && c.eventually(func() bool { return !c.held(group.Name) })
	})
	note := release.Note{ID: "add-again"}
	note.Added.Groups = []fleet.Group{group}
	if !c.applyAnywhere(note) {
		c.t.Errorf("group %s could not be added again", group.Name)
	}
}

// held tells whether an engine has a role in the group.
func (c *cluster) held(group string) bool {
	for _, address := range c.backends(true, false) {
		if report, err := c.report(address); err == nil && report.Group == group {
			return true
		}
	}
	return false
}

// applyAnywhere applies a note through any node that accepts it.
func (c *cluster) applyAnywhere(note release.Note) bool {
	return c.eventually(func() bool {
		for i := range c.spec.nodes {
			status, err := c.status(i)
			if err != nil {
				continue
			}
			note.Base = status.Revision
			if _, err := c.apply(i, note); err == nil {
				return true
			}
		}
		return false
	})
}
