package formation

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// minSuspecting is the number of nodes to which a group must be silent or gone before
	// its members are probed: a single node may itself be partitioned.
	minSuspecting = 2
	// groupProbeInterval is the minimum time between two probes of a group.
	groupProbeInterval = 1500 * time.Millisecond
	// probeTimeout bounds one probe of an engine. Engines answer probes in
	// milliseconds, whatever their load.
	probeTimeout = 350 * time.Millisecond
	// unreachableTimeout is how long an instance that didn't answer is ignored
	// although it is listed. After that time the instance list has dropped it, or it is
	// probed again.
	unreachableTimeout = 4 * time.Second
)

// unreachableInstance is a listed instance that didn't answer a probe.
type unreachableInstance struct {
	until time.Time
	// startedMs identifies the process that didn't answer; a restarted instance has
	// another value.
	startedMs int64
}

// withoutUnreachable returns the listed instances except those that didn't answer a
// probe.
func (c *Controller) withoutUnreachable(listed []*engine.Instance, now time.Time) []*engine.Instance {
	if len(c.unreachable) == 0 {
		return listed
	}
	kept := make([]*engine.Instance, 0, len(listed))
	for _, in := range listed {
		u, ignored := c.unreachable[in.ID]
		if ignored && (now.After(u.until) || u.startedMs != in.StartedMs) {
			delete(c.unreachable, in.ID)
			ignored = false
		}
		if !ignored {
			kept = append(kept, in)
		}
	}
	return kept
}

// probeSuspectGroups probes the members of groups that are silent or gone to several nodes. This
// detects failed members earlier than the instance list, which drops them only after
// three missed heartbeats.
func (c *Controller) probeSuspectGroups(ctx context.Context, s *Snapshot) {
	for _, g := range s.Groups {
		head := g.Head()
		if head == nil || head.Membership.Phase != engine.Open || s.Now.Sub(c.lastProbed[head.ID]) < groupProbeInterval {
			continue
		}
		suspecting := c.SuspectingNodes(head.ID)
		if suspecting < minSuspecting {
			continue
		}
		c.lastProbed[head.ID] = s.Now
		go c.probeGroup(ctx, c.term, g, suspecting)
	}
}

// probeGroup probes all members of a group and marks those that don't answer as
// unreachable. If none answers, this node itself may be partitioned, and no member is
// marked.
func (c *Controller) probeGroup(ctx context.Context, term uint64, g *engine.Group, suspecting int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	errs := make([]error, len(g.Members))
	var all sync.WaitGroup
	for i, in := range g.Members {
		all.Go(func() { errs[i] = c.Prober.Probe(ctx, in) })
	}
	all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term {
		return
	}
	failed := 0
	for _, err := range errs {
		if err != nil {
			failed++
		}
	}
	_ = level.Info(c.Logger).Log("msg", "probed members of unresponsive group", "group", g.ID.Name, "suspecting_nodes", suspecting,
		"members", len(g.Members), "silent", failed)
	if failed == len(g.Members) {
		return
	}
	for i, err := range errs {
		if err != nil {
			in := g.Members[i]
			c.unreachable[in.ID] = unreachableInstance{time.Now().Add(unreachableTimeout), in.StartedMs}
			_ = level.Warn(c.Logger).Log("msg", "instance didn't answer probe; ignoring it until it restarts or is probed again", "instance", in.ID, "group", g.ID.Name, "err", err)
		}
	}
}
