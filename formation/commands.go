package formation

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/engine"
)

// pendingCommand is a command whose effect isn't listed yet.
type pendingCommand struct {
	engine.Command
	// until is when the command is no longer waited for.
	until time.Time
}

// execute sends the commands of a plan, records its reservations and forms its groups.
func (c *Controller) execute(ctx context.Context, p Plan) {
	for _, command := range p.Commands {
		_ = level.Info(c.Logger).Log("msg", "sending command", "operation", command.Operation, "group", command.Group.Name,
			"model", command.Model, "instance", command.Instance, "cut", command.AbortInFlight)
		if command.Operation == engine.Stage {
			c.stage(ctx, command)
			continue
		}
		c.send(ctx, command)
	}
	for _, r := range p.Reservations {
		c.reservations[r.Domain] = r
		_ = level.Info(c.Logger).Log("msg", "instances reserved for model with too few groups", "model", r.Model, "domain", r.Domain,
			"closed_groups", len(r.Closed))
	}
	for _, g := range p.Groups {
		c.useReservation(g)
		c.form(ctx, g)
	}
}

// useReservation deducts a new group from the groups for which its domain is reserved.
func (c *Controller) useReservation(g PlannedGroup) {
	domain := g.Members[0].FabricDomain
	r := c.reservations[domain]
	if r.Model != g.Model {
		return
	}
	if r.Groups--; r.Groups > 0 {
		c.reservations[domain] = r
	} else {
		delete(c.reservations, domain)
	}
}

// form sends the join commands of a new group to its members.
func (c *Controller) form(ctx context.Context, g PlannedGroup) {
	id := engine.GroupID{Name: groupName(c.nextEpoch), Epoch: c.nextEpoch}
	c.nextEpoch++
	formed := FormedGroup{Model: g.Model, Loads: g.Loads, At: time.Now()}
	for _, in := range g.Members {
		formed.Members = append(formed.Members, in.ID)
	}
	c.formed[id] = formed
	c.loadLimiter.take(g.Loads)
	_ = level.Info(c.Logger).Log("msg", "forming group", "group", id.Name, "epoch", id.Epoch, "model", g.Model,
		"domain", g.Members[0].FabricDomain, "head", formed.Members[0], "loads", g.Loads)
	for _, in := range g.Members {
		c.send(ctx, engine.Command{Operation: engine.Join, Instance: in.ID, Address: in.Address,
			Group: id, Model: g.Model, Members: formed.Members})
	}
}

// stage commands an instance to load weights onto its host. The instance may join a
// group in the meantime.
func (c *Controller) stage(ctx context.Context, command engine.Command) {
	configuration := c.Configuration.Load()
	limit := defaultStagingTimeout
	if service := configuration.ModelService(); service != nil {
		if m := service.Engine.Model(command.Model); m != nil {
			limit = stagingSlack + 2*m.LoadTime
		}
	}
	c.pendingLoads[command.Instance] = pendingLoad{command.Model, time.Now().Add(limit)}
	c.loadLimiter.take(1)
	c.dispatch(ctx, command)
}

// Timeouts of loads onto a host.
const (
	// defaultStagingTimeout applies to a model whose load time isn't configured.
	defaultStagingTimeout = 30 * time.Second
	// stagingSlack is added to twice the load time of a model. After that time the
	// command counts as lost.
	stagingSlack = 3 * time.Second
)

// send records a command as pending and dispatches it. The caller holds the lock.
func (c *Controller) send(ctx context.Context, command engine.Command) {
	now := time.Now()
	c.pendingCommands[command.Instance] = pendingCommand{command, now.Add(commandTimeout)}
	if command.Operation == engine.Join {
		c.unansweredJoins[command.Instance] = unansweredJoin{command.Group.Epoch, now.Add(lateCommandWindow)}
	}
	c.dispatch(ctx, command)
}

// dispatch sends a command in a goroutine, unless the lease has been lost. The caller
// holds the lock.
func (c *Controller) dispatch(ctx context.Context, command engine.Command) {
	c.commandsSent.Inc(1)
	term := c.term
	go func() {
		if held, ok := c.Term(); !ok || held.Number != term {
			return
		}
		err := c.Commander.Send(ctx, command)
		c.recordResult(term, command, err)
	}()
}

// recordResult updates the controller's state after a command was answered or failed.
func (c *Controller) recordResult(term uint64, command engine.Command, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term {
		return
	}
	if err != nil {
		_ = level.Warn(c.Logger).Log("msg", "command refused or not answered", "operation", command.Operation,
			"group", command.Group.Name, "instance", command.Instance, "err", err)
	}
	answered := err == nil || errors.Is(err, engine.ErrRefused)
	switch {
	case command.Operation == engine.Join && answered && c.unansweredJoins[command.Instance].epoch == command.Group.Epoch:
		delete(c.unansweredJoins, command.Instance)
	case command.Operation == engine.Stage && err != nil:
		c.pendingLoads[command.Instance] = pendingLoad{command.Model, time.Now().Add(failedLoadBackoff)}
	case errors.Is(err, engine.ErrRefused) && command.Operation != engine.Join:
		// The instance's state has changed since the command was planned. The
		// instance list shows it soon, so the command is waited for only briefly.
		if p, ok := c.pendingCommands[command.Instance]; ok && cmp.Compare(p.Operation, command.Operation) == 0 {
			p.until = time.Now().Add(refusedBackoff)
			c.pendingCommands[command.Instance] = p
		}
	}
}

// unansweredJoin is a join command without a response. It may be carried out at any
// time before until.
type unansweredJoin struct {
	epoch uint64
	until time.Time
}

// unansweredEpochs returns the epochs of the joins that may still be carried out, by
// instance ID, and drops the expired ones.
func (c *Controller) unansweredEpochs(now time.Time) map[string]uint64 {
	epochs := make(map[string]uint64, len(c.unansweredJoins))
	for id, join := range c.unansweredJoins {
		if now.After(join.until) {
			delete(c.unansweredJoins, id)
			continue
		}
		epochs[id] = join.epoch
	}
	return epochs
}

const (
	// lateCommandWindow is how long a command without a response may still be carried
	// out.
	lateCommandWindow = 15 * time.Second
	// refusedBackoff is the time before a refused command may be sent again.
	refusedBackoff = 400 * time.Millisecond
	// failedLoadBackoff is the time after a failed load before an instance is commanded
	// to load weights again.
	failedLoadBackoff = 1500 * time.Millisecond
)

// releaseHeadlessGroups closes groups whose head is missing from the instance list.
// The head may still serve requests, so it is commanded to close and abort them, and
// the members are commanded to leave before they may be used again. A head without its
// members can't continue to run requests.
func (c *Controller) releaseHeadlessGroups(ctx context.Context, s *Snapshot) {
	for id, since := range c.headMissingSince {
		g := s.group(id)
		if g == nil {
			continue
		}
		if head := c.lastHead[id]; head != nil && since.Equal(s.Now) {
			c.dispatch(ctx, engine.Command{Operation: engine.CloseHead, Instance: head.ID, Address: head.Address,
				Group: id, AbortInFlight: true})
		}
		for _, in := range g.Members {
			if !s.CommandPending[in.ID] && !slices.Contains(s.Evacuated, in) {
				c.send(ctx, engine.Command{Operation: engine.Leave, Instance: in.ID, Address: in.Address, Group: id})
			}
		}
	}
}
