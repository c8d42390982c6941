package formation

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/engine"
)

// order is a command whose effect isn't listed yet.
type order struct {
	engine.Command
	until time.Time
}

// carryOut sends the commands of a plan.
func (c *Controller) carryOut(ctx context.Context, p Plan) {
	for _, command := range p.Commands {
		_ = level.Info(c.Logger).Log("msg", "order", "operation", command.Operation, "group", command.Group.Name,
			"model", command.Model, "instance", command.Instance, "cut", command.CutRunning)
		if command.Operation == engine.Stage {
			c.stage(ctx, command)
			continue
		}
		c.send(ctx, command)
	}
	for _, r := range p.Reserve {
		c.reserved[r.Domain] = r
		_ = level.Info(c.Logger).Log("msg", "instances kept for a model that is short", "model", r.Model, "domain", r.Domain,
			"closed_groups", len(r.Closed))
	}
	for _, d := range p.Groups {
		c.useReservation(d)
		c.form(ctx, d)
	}
}

// useReservation counts a new group as one of those that its domain is reserved for.
func (c *Controller) useReservation(d Draft) {
	domain := d.Members[0].FabricDomain
	r := c.reserved[domain]
	if r.Model != d.Model {
		return
	}
	if r.Groups--; r.Groups > 0 {
		c.reserved[domain] = r
	} else {
		delete(c.reserved, domain)
	}
}

// form orders the members of a new group to join.
func (c *Controller) form(ctx context.Context, d Draft) {
	id := engine.GroupID{Name: groupName(c.nextEpoch), Epoch: c.nextEpoch}
	c.nextEpoch++
	f := Formation{Model: d.Model, Loads: d.Loads, At: time.Now()}
	for _, in := range d.Members {
		f.Members = append(f.Members, in.ID)
	}
	c.formed[id] = f
	c.loads.take(d.Loads)
	_ = level.Info(c.Logger).Log("msg", "forming group", "group", id.Name, "epoch", id.Epoch, "model", d.Model,
		"domain", d.Members[0].FabricDomain, "head", f.Members[0], "loads", d.Loads)
	for _, in := range d.Members {
		c.send(ctx, engine.Command{Operation: engine.Join, Instance: in.ID, Address: in.Address,
			Group: id, Model: d.Model, Members: f.Members})
	}
}

// stage orders a load onto a host. The instance may join a group meanwhile.
func (c *Controller) stage(ctx context.Context, command engine.Command) {
	configuration := c.Configuration.Load()
	limit := stagingLimit
	if service := configuration.ModelService(); service != nil {
		if m := service.Engine.Model(command.Model); m != nil {
			limit = stagingSlack + 2*m.LoadTime
		}
	}
	c.staging[command.Instance] = staging{command.Model, time.Now().Add(limit)}
	c.loads.take(1)
	c.dispatch(ctx, command)
}

// Times of a load onto a host.
const (
	// stagingLimit is the longest time of a load of unknown length.
	stagingLimit = 30 * time.Second
	// stagingSlack is added to twice the time of a load before it counts as lost.
	stagingSlack = 3 * time.Second
)

// send sends a command while the lease holds. The caller holds the lock.
func (c *Controller) send(ctx context.Context, command engine.Command) {
	now := time.Now()
	c.ordered[command.Instance] = order{command, now.Add(orderLifetime)}
	if command.Operation == engine.Join {
		c.unanswered[command.Instance] = unansweredJoin{command.Group.Epoch, now.Add(lateOrderTime)}
	}
	c.dispatch(ctx, command)
}

// dispatch sends a command beside the caller, which holds the lock.
func (c *Controller) dispatch(ctx context.Context, command engine.Command) {
	c.orders.Inc(1)
	term := c.term
	go func() {
		if held, ok := c.Term(); !ok || held.Number != term {
			return
		}
		err := c.Commander.Send(ctx, command)
		c.outcome(term, command, err)
	}()
}

// outcome records the answer to a command.
func (c *Controller) outcome(term uint64, command engine.Command, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term {
		return
	}
	if err != nil {
		_ = level.Warn(c.Logger).Log("msg", "order failed", "operation", command.Operation,
			"group", command.Group.Name, "instance", command.Instance, "err", err)
	}
	answered := err == nil || errors.Is(err, engine.ErrRefused)
	switch {
	case command.Operation == engine.Join && answered && c.unanswered[command.Instance].epoch == command.Group.Epoch:
		delete(c.unanswered, command.Instance)
	case command.Operation == engine.Stage && err != nil:
		c.staging[command.Instance] = staging{command.Model, time.Now().Add(failedPause)}
	case errors.Is(err, engine.ErrRefused) && command.Operation != engine.Join:
		// The state has changed since; the next look at the list tells.
		if o, ok := c.ordered[command.Instance]; ok && cmp.Compare(o.Operation, command.Operation) == 0 {
			o.until = time.Now().Add(refusedPause)
			c.ordered[command.Instance] = o
		}
	}
}

// unansweredJoin is a join that may be carried out until a time.
type unansweredJoin struct {
	epoch uint64
	until time.Time
}

// unansweredEpochs returns the joins that may still be carried out.
func (c *Controller) unansweredEpochs(now time.Time) map[string]uint64 {
	epochs := make(map[string]uint64, len(c.unanswered))
	for id, join := range c.unanswered {
		if now.After(join.until) {
			delete(c.unanswered, id)
			continue
		}
		epochs[id] = join.epoch
	}
	return epochs
}

const (
	// lateOrderTime is how long an order without an answer may still be carried out.
	lateOrderTime = 15 * time.Second
	// refusedPause is the time before a refused order is considered again.
	refusedPause = 400 * time.Millisecond
	// failedPause is the time before another load is ordered of an instance.
	failedPause = 1500 * time.Millisecond
)

// freeOrphans breaks groups whose head is missing from the list. The head may
// still serve: it is told to end its requests, and its members are told to leave
// before they may be used. Without them it can't go on.
func (c *Controller) freeOrphans(ctx context.Context, s *Situation) {
	for id, since := range c.headLost {
		g := s.group(id)
		if g == nil {
			continue
		}
		if head := c.lastHead[id]; head != nil && since.Equal(s.Now) {
			c.dispatch(ctx, engine.Command{Operation: engine.CloseHead, Instance: head.ID, Address: head.Address,
				Group: id, CutRunning: true})
		}
		for _, in := range g.Members {
			if !s.Ordered[in.ID] {
				c.send(ctx, engine.Command{Operation: engine.Leave, Instance: in.ID, Address: in.Address, Group: id})
			}
		}
	}
}
