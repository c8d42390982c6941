package formation

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// minSuspecting is the number of nodes that must have found a group silent
	// before its members are asked: one node alone may be cut off itself.
	minSuspecting = 2
	// examineInterval is the time between two examinations of a group.
	examineInterval = 1500 * time.Millisecond
	// probeTimeout bounds one question to an engine; engines answer it in
	// milliseconds, whatever their load.
	probeTimeout = 350 * time.Millisecond
	// lostFor is how long an instance that didn't answer is left out although it
	// is listed. By then the list has dropped it, or it is asked again.
	lostFor = 4 * time.Second
)

// lostInstance is an instance that didn't answer.
type lostInstance struct {
	until time.Time
	// startedMs is the life that was lost.
	startedMs int64
}

// withoutLost returns the instances without those that didn't answer.
func (c *Controller) withoutLost(listed []*engine.Instance, now time.Time) []*engine.Instance {
	if len(c.lost) == 0 {
		return listed
	}
	kept := make([]*engine.Instance, 0, len(listed))
	for _, in := range listed {
		loss, lost := c.lost[in.ID]
		if lost && (now.After(loss.until) || loss.startedMs != in.StartedMs) {
			delete(c.lost, in.ID)
			lost = false
		}
		if !lost {
			kept = append(kept, in)
		}
	}
	return kept
}

// examineSuspects asks the members of groups that several nodes found silent. It
// answers to members that go dark: the list drops them only after three
// heartbeats.
func (c *Controller) examineSuspects(ctx context.Context, s *Situation) {
	for _, g := range s.Groups {
		head := g.Head()
		if head == nil || head.Membership.Phase != engine.Open || s.Now.Sub(c.examined[head.ID]) < examineInterval {
			continue
		}
		suspecting := c.Suspecting(head.ID)
		if suspecting < minSuspecting {
			continue
		}
		c.examined[head.ID] = s.Now
		go c.examine(ctx, c.term, g, suspecting)
	}
}

// examine asks all members of a group. If none answers, this node itself may be
// cut off, and nothing follows.
func (c *Controller) examine(ctx context.Context, term uint64, g *engine.Group, suspecting int) {
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
	silent := 0
	for _, err := range errs {
		if err != nil {
			silent++
		}
	}
	_ = level.Info(c.Logger).Log("msg", "silent group examined", "group", g.ID.Name, "suspecting_nodes", suspecting,
		"members", len(g.Members), "silent", silent)
	if silent == len(g.Members) {
		return
	}
	for i, err := range errs {
		if err != nil {
			in := g.Members[i]
			c.lost[in.ID] = lostInstance{time.Now().Add(lostFor), in.StartedMs}
			_ = level.Warn(c.Logger).Log("msg", "instance believed lost", "instance", in.ID, "group", g.ID.Name, "err", err)
		}
	}
}
