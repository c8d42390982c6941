package formation

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// Times of the controller.
const (
	// interval is the time between two looks at an unchanged list.
	interval = 250 * time.Millisecond
	// takeoverDelay lets the effects of the previous holder's last orders reach
	// the list.
	takeoverDelay = time.Second
	// gatherTime is how long the number of instances has to stay the same before
	// the first groups are formed, gatherLimit the longest wait for that.
	gatherTime  = 700 * time.Millisecond
	gatherLimit = 4 * time.Second
	// orderLifetime is how long an order without a listed effect is waited for.
	orderLifetime = 2500 * time.Millisecond
	// demandWeight is that of a new value in the average of the demand.
	demandWeight = 0.06
	// epochsPerTerm is the number of epochs that one holder can use.
	epochsPerTerm = 1 << 20
)

// Term is a held lease.
type Term struct {
	// Number grows with each holder.
	Number uint64
	// Until is the end of the lease on this process's clock.
	Until time.Time
}

// Ports are what the controller works with.
type Ports struct {
	// Term returns the lease if this node holds it.
	Term          func() (Term, bool)
	Configuration *blackboard.Section[catalog.Configuration]
	Roster        *blackboard.Section[engine.Roster]
	// Demand returns the requests of all nodes by model.
	Demand    func() map[string]float64
	Commander engine.Commander
	// Suspects counts, by head, the nodes that found a group silent.
	Suspects func() map[string]int
	// Progress reports whether the group of a head sends events to any node.
	Progress func(head string) bool
	Prober   engine.Prober
	Logger   log.Logger
	Registry metrics.Registry
}

// Config configures a Controller.
type Config struct {
	// FirstStart tells that the whole system starts for the first time, so that
	// the first holder of the lease forms groups before there is any traffic.
	FirstStart bool
}

// Controller carries out plans while this node holds the lease.
type Controller struct {
	cfg Config
	Ports
	orders metrics.Counter

	mu        sync.Mutex
	term      uint64
	since     time.Time
	nextEpoch uint64
	ordered   map[string]order
	staging   map[string]staging
	// unanswered are joins that may still be carried out, by instance.
	unanswered map[string]unansweredJoin
	reserved   map[string]Reservation
	formed     map[engine.GroupID]Formation
	// headLost tells since when the head of a group is missing from the list.
	headLost map[engine.GroupID]time.Time
	lastHead map[engine.GroupID]*engine.Instance
	seen     map[engine.GroupID]time.Time
	// reported is the time of the last line on the state of all groups.
	reported time.Time
	// known and knownSince tell how long the number of instances is unchanged.
	known      int
	knownSince time.Time
	demand     map[string]float64
	// demandSince is the time of the first demand of this term.
	demandSince time.Time
	loads       loadLimit
	// lost are instances that didn't answer although they are listed.
	lost map[string]lostInstance
	// examined tells when a head's group was examined last.
	examined map[string]time.Time
}

// order is a command whose effect isn't listed yet.
type order struct {
	engine.Command
	until time.Time
}

// NewController returns a controller.
func NewController(cfg Config, ports Ports) *Controller {
	c := &Controller{cfg: cfg, Ports: ports, orders: metrics.GetOrRegisterCounter("formation.orders", ports.Registry)}
	c.Logger = log.With(ports.Logger, "component", "formation")
	return c
}

// Run forms groups until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := c.Roster.Changed()
		c.step(ctx)
		limited, cancel := context.WithTimeout(ctx, interval)
		select {
		case <-changed:
		case <-limited.Done():
		}
		cancel()
		// Changes that come together are handled together.
		wait.For(ctx, 20*time.Millisecond)
	}
	return nil
}

// step makes a plan and carries it out.
func (c *Controller) step(ctx context.Context) {
	term, held := c.Term()
	configuration, roster := c.Configuration.Load(), c.Roster.Load()
	if !held || configuration == nil || roster == nil {
		return
	}
	service := configuration.ModelService()
	if service == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.term != term.Number {
		c.takeOver(term, roster.ByService[service.Name], now)
	}
	for _, g := range roster.Groups[service.Name] {
		c.nextEpoch = max(c.nextEpoch, g.ID.Epoch+1)
	}
	s := c.situation(service, roster, now)
	if (now.Sub(c.since) < takeoverDelay && len(s.Groups) > 0) || c.gathering(s) {
		return
	}
	c.examineSuspects(ctx, s)
	c.carryOut(ctx, Make(s))
	c.report(s)
	c.freeOrphans(ctx, s)
}

// takeOver starts a term with nothing but the list.
func (c *Controller) takeOver(term Term, instances []*engine.Instance, now time.Time) {
	c.term, c.since = term.Number, now
	c.nextEpoch = term.Number * epochsPerTerm
	c.ordered, c.formed = map[string]order{}, map[engine.GroupID]Formation{}
	c.headLost, c.lastHead = map[engine.GroupID]time.Time{}, map[engine.GroupID]*engine.Instance{}
	c.seen, c.demand = map[engine.GroupID]time.Time{}, map[string]float64{}
	c.reserved, c.demandSince = map[string]Reservation{}, time.Time{}
	c.unanswered = map[string]unansweredJoin{}
	c.staging, c.lost = map[string]staging{}, map[string]lostInstance{}
	c.examined = map[string]time.Time{}
	_ = level.Info(c.Logger).Log("msg", "forming groups from now on", "term", term.Number, "instances", len(instances))
}

// gathering reports whether instances are still being listed for the first time.
// Groups formed from the first few would leave none for larger ones.
func (c *Controller) gathering(s *Situation) bool {
	if len(s.Instances) != c.known {
		c.known, c.knownSince = len(s.Instances), s.Now
	}
	if len(s.Groups) > 0 || len(c.formed) > 0 || s.Now.Sub(c.since) > gatherLimit {
		return false
	}
	return s.Now.Sub(c.knownSince) < gatherTime
}

func (c *Controller) situation(service *catalog.Service, roster *engine.Roster, now time.Time) *Situation {
	instances := c.withoutLost(roster.ByService[service.Name], now)
	s := &Situation{
		Profile: service.Engine, Instances: instances, Groups: engine.GroupsOf(instances),
		Demand: c.average(), Ordered: map[string]bool{}, Formed: c.formed, FirstEpoch: c.term * epochsPerTerm, Unanswered: c.unansweredEpochs(now),
		Reserved: c.reserved, Progress: c.Progress, LastHead: c.lastHead, SeenSince: c.seen, Now: now,
	}
	if len(s.Demand) > 0 && c.demandSince.IsZero() {
		c.demandSince = now
	}
	if !c.demandSince.IsZero() {
		s.DemandFor = now.Sub(c.demandSince)
	}
	for domain, r := range c.reserved {
		if now.After(r.Until) {
			delete(c.reserved, domain)
		}
	}
	c.settle(s)
	c.settleStaging(s)
	c.trackGroups(s)
	began := !c.cfg.FirstStart || c.term > 1 || len(s.Demand) > 0
	s.LoadsAreShort = !began
	s.Loads = c.loads.available(service.Engine, c.loading(s), began, now)
	return s
}

// average follows the demand over some seconds; it is empty before the first
// request.
func (c *Controller) average() map[string]float64 {
	for model, n := range c.Demand() {
		old, known := c.demand[model]
		if !known {
			old = n
		}
		c.demand[model] = old + demandWeight*(n-old)
	}
	return c.demand
}

// settle drops orders whose effect is listed, and those that are too old.
func (c *Controller) settle(s *Situation) {
	for id, o := range c.ordered {
		in := s.instance(id)
		if s.Now.After(o.until) || (in != nil && o.effective(in)) {
			delete(c.ordered, id)
			continue
		}
		s.Ordered[id] = true
	}
}

// effective reports whether the list shows the effect of the order.
func (o *order) effective(in *engine.Instance) bool {
	m := in.Membership
	same := m.Group == o.Group.Name && m.Epoch == o.Group.Epoch
	switch o.Operation {
	case engine.Join:
		return same
	case engine.OpenHead:
		return !same || m.Phase == engine.Open
	case engine.CloseHead:
		return !same || m.Phase != engine.Open
	case engine.Leave:
		return !same
	}
	return true
}

// trackGroups remembers heads and notes when they disappear.
func (c *Controller) trackGroups(s *Situation) {
	listed := map[engine.GroupID]bool{}
	for _, g := range s.Groups {
		listed[g.ID] = true
		if _, known := c.seen[g.ID]; !known {
			c.seen[g.ID] = s.Now
		}
		if head := g.Head(); head != nil {
			c.lastHead[g.ID] = head
			delete(c.headLost, g.ID)
		} else if _, known := c.headLost[g.ID]; !known && c.isHeadMissing(s, g) {
			c.headLost[g.ID] = s.Now
			_ = level.Warn(c.Logger).Log("msg", "head of a group is missing", "group", g.ID.Name, "epoch", g.ID.Epoch)
		}
	}
	for id := range c.seen {
		if !listed[id] {
			delete(c.seen, id)
			delete(c.headLost, id)
			delete(c.lastHead, id)
		}
	}
	for id, f := range c.formed {
		if !listed[id] && s.Now.Sub(f.At) > orderLifetime+joinSlack {
			delete(c.formed, id)
		}
	}
}

// isHeadMissing reports whether the head of a group without one is no longer
// listed. Members of a new group may be listed in it before the head is.
func (c *Controller) isHeadMissing(s *Situation, g *engine.Group) bool {
	if f, mine := c.formed[g.ID]; mine {
		return s.instance(f.Members[0]) == nil
	}
	if head := c.lastHead[g.ID]; head != nil {
		return s.instance(head.ID) == nil
	}
	return s.Now.Sub(c.seen[g.ID]) >= takeoverDelay
}

// staging is a load onto a host that was ordered.
type staging struct {
	model string
	until time.Time
}

// settleStaging drops loads that the list shows as done, and those that take so
// long that the order was lost.
func (c *Controller) settleStaging(s *Situation) {
	s.Staging = map[string]string{}
	for id, load := range c.staging {
		in := s.instance(id)
		if in == nil || slices.Contains(in.Staged, load.model) || s.Now.After(load.until) {
			delete(c.staging, id)
			continue
		}
		s.Staging[id] = load.model
	}
}

// loading counts the loads that are under way.
func (c *Controller) loading(s *Situation) int {
	n := len(c.staging)
	for _, in := range s.Instances {
		joining := in.Membership.Phase == engine.Joining && !slices.Contains(in.Staged, in.Model)
		if joining && c.staging[in.ID].model == "" {
			n++
		}
	}
	return n
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
	if p.Reserve.Domain != "" {
		c.reserved[p.Reserve.Domain] = p.Reserve
		_ = level.Info(c.Logger).Log("msg", "instances kept for a model that is short", "model", p.Reserve.Model, "domain", p.Reserve.Domain)
	}
	for _, d := range p.Groups {
		if domain := d.Members[0].FabricDomain; c.reserved[domain].Model == d.Model {
			delete(c.reserved, domain)
		}
		c.form(ctx, d)
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
	c.ordered[command.Instance] = order{command, time.Now().Add(orderLifetime)}
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
	switch {
	case command.Operation == engine.Join && err != nil && !errors.Is(err, engine.ErrRefused):
		c.unanswered[command.Instance] = unansweredJoin{command.Group.Epoch, time.Now().Add(lateOrderTime)}
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
	// lateOrderTime is how long an order without an answer may still be carried
	// out; the platform's pages name seconds, their days up to twelve.
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
