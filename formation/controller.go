package formation

import (
	"context"
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

// Timing of the controller.
const (
	// resyncInterval is the time between two reconciliations while the instance list
	// doesn't change.
	resyncInterval = 250 * time.Millisecond
	// takeoverDelay gives the effects of the previous lease holder's last commands
	// time to appear in the instance list.
	takeoverDelay = time.Second
	// instanceSettleTime is how long the number of instances must stay the same before
	// the first groups are formed.
	instanceSettleTime = 700 * time.Millisecond
	// maxInstanceSettleTime bounds the wait for a stable number of instances.
	maxInstanceSettleTime = 4 * time.Second
	// commandTimeout is how long a sent command counts as pending while the instance
	// list doesn't show its effect.
	commandTimeout = 2500 * time.Millisecond
	// demandSmoothing is the weight of a new sample in the moving average of the
	// demand.
	demandSmoothing = 0.06
	// epochsPerTerm is the number of epochs reserved for one lease term.
	epochsPerTerm = 1 << 20
	// maxTermEpoch is above the epochs of all terms.
	maxTermEpoch = 1 << 53
)

// Term identifies one period during which a node holds the lease.
type Term struct {
	// Number increases with each new lease holder.
	Number uint64
}

// Dependencies are the inputs and clients that the controller uses.
type Dependencies struct {
	// Term returns the current term and reports whether this node holds the lease.
	Term          func() (Term, bool)
	Configuration *blackboard.Section[catalog.Configuration]
	Roster        *blackboard.Section[engine.Roster]
	// Demand returns the number of requests that run or wait on all nodes, by model.
	Demand    func() map[string]float64
	Commander engine.Commander
	// SuspectingNodes returns the number of nodes that received no events from the
	// group of the given head when they expected some.
	SuspectingNodes func(head string) int
	// Progress reports whether the group of the given head is sending events to any
	// node.
	Progress func(head string) bool
	Prober   engine.Prober
	Logger   log.Logger
	Registry metrics.Registry
}

// Config configures a Controller.
type Config struct {
	// FirstStart is true if the whole system starts for the first time. The first
	// lease holder then forms groups before there is any traffic.
	FirstStart bool
}

// Controller forms and closes groups while this node holds the lease.
type Controller struct {
	cfg Config
	Dependencies
	commandsSent metrics.Counter

	mu sync.Mutex
	termState
	// lastReport is when the state of all groups was last logged.
	lastReport  time.Time
	loadLimiter loadLimiter
}

// termState is the controller's state for one term. It starts empty and is rebuilt
// from the instance list.
type termState struct {
	term uint64
	// since is when this node became the lease holder.
	since time.Time
	// firstEpoch is the lowest epoch of the groups that are formed in this term.
	firstEpoch uint64
	nextEpoch  uint64
	// pendingCommands are commands whose effect isn't listed yet, by instance ID.
	pendingCommands map[string]pendingCommand
	// pendingLoads are loads onto a host that aren't listed yet, by instance ID.
	pendingLoads map[string]pendingLoad
	// unansweredJoins are join commands without a response that may still be carried
	// out, by instance ID.
	unansweredJoins map[string]unansweredJoin
	// reservations keep the free instances of a fabric domain for one model, by domain.
	reservations map[string]Reservation
	formed       map[engine.GroupID]FormedGroup
	// headMissingSince is when the head of a group disappeared from the instance list.
	headMissingSince map[engine.GroupID]time.Time
	lastHead         map[engine.GroupID]*engine.Instance
	seenSince        map[engine.GroupID]time.Time
	// sizes are the numbers of members with which the listed groups were complete.
	sizes engine.Sizes
	// loadedModels are the models that instances last had in memory, by instance ID.
	loadedModels map[string]loadedModel
	// instanceCount is the number of listed instances.
	instanceCount int
	// instanceCountSince is when instanceCount last changed.
	instanceCountSince time.Time
	// demand is the moving average of the demand by model.
	demand map[string]float64
	// demandSince is when demand was first measured.
	demandSince time.Time
	// unreachable are listed instances that didn't answer a probe, by ID.
	unreachable map[string]unreachableInstance
	// lastProbed is when the members of a group were last probed, by head.
	lastProbed map[string]time.Time
}

// nextEpochAfter returns the first epoch from next on that is above those of the listed
// groups. An epoch that no term can have reached counts only if its group has the name that
// this controller gives; the entry of another writer must not leave no epochs to engines.
func nextEpochAfter(next uint64, groups []*engine.Group) uint64 {
	for _, g := range groups {
		plausible := g.ID.Epoch < maxTermEpoch || (g.ID.Epoch < engine.MaxEpoch && g.ID.Name == groupName(g.ID.Epoch))
		if plausible {
			next = max(next, g.ID.Epoch+1)
		}
	}
	return next
}

// newTermState returns the state at the start of a term. Its epochs are above those of the
// listed groups even if the record of the lease was lost and terms count anew.
func newTermState(term uint64, listed []*engine.Group, now time.Time) termState {
	first := nextEpochAfter(min(term, maxTermEpoch/epochsPerTerm)*epochsPerTerm, listed)
	return termState{
		term: term, since: now, firstEpoch: first, nextEpoch: first,
		pendingCommands: map[string]pendingCommand{}, pendingLoads: map[string]pendingLoad{},
		unansweredJoins: map[string]unansweredJoin{}, reservations: map[string]Reservation{},
		formed:           map[engine.GroupID]FormedGroup{},
		headMissingSince: map[engine.GroupID]time.Time{}, lastHead: map[engine.GroupID]*engine.Instance{},
		seenSince: map[engine.GroupID]time.Time{}, loadedModels: map[string]loadedModel{}, demand: map[string]float64{},
		unreachable: map[string]unreachableInstance{}, lastProbed: map[string]time.Time{},
	}
}

// NewController returns a controller.
func NewController(cfg Config, deps Dependencies) *Controller {
	c := &Controller{cfg: cfg, Dependencies: deps, commandsSent: metrics.GetOrRegisterCounter("formation.orders", deps.Registry)}
	c.Logger = log.With(deps.Logger, "component", "formation")
	return c
}

// Run forms groups until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := c.Roster.Changed()
		c.reconcile(ctx)
		limited, cancel := context.WithTimeout(ctx, resyncInterval)
		select {
		case <-changed:
		case <-limited.Done():
		}
		cancel()
		// Changes that arrive together are handled in one reconciliation.
		wait.For(ctx, 20*time.Millisecond)
	}
	return nil
}

// reconcile makes a plan from the current instance list and demand and executes it.
func (c *Controller) reconcile(ctx context.Context) {
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
	groups := roster.Groups[service.Name]
	if c.term != term.Number {
		c.termState = newTermState(term.Number, groups, now)
		_ = level.Info(c.Logger).Log("msg", "lease acquired; forming groups in this term", "term", term.Number,
			"instances", len(roster.ByService[service.Name]))
	}
	c.nextEpoch = nextEpochAfter(c.nextEpoch, groups)
	s := c.snapshot(service, roster, now)
	if (now.Sub(c.since) < takeoverDelay && len(s.Groups) > 0) || c.awaitingInstances(s) {
		return
	}
	c.probeSuspectGroups(ctx, s)
	s.Repeatable = configuration.Repeatable(service.Name)
	c.execute(ctx, NewPlan(s))
	c.report(s)
	c.releaseHeadlessGroups(ctx, s)
}

// awaitingInstances reports whether instances are still being listed for the first
// time. Groups formed from the first few would leave none for larger groups.
func (c *Controller) awaitingInstances(s *Snapshot) bool {
	if len(s.Instances) != c.instanceCount {
		c.instanceCount, c.instanceCountSince = len(s.Instances), s.Now
	}
	if len(s.Groups) > 0 || len(c.formed) > 0 || s.Now.Sub(c.since) > maxInstanceSettleTime {
		return false
	}
	return s.Now.Sub(c.instanceCountSince) < instanceSettleTime
}

// snapshot collects the input of a plan and drops expired state.
func (c *Controller) snapshot(service *catalog.Service, roster *engine.Roster, now time.Time) *Snapshot {
	instances := c.withLoadedModels(c.withoutUnreachable(roster.ByService[service.Name], now))
	s := &Snapshot{
		Profile: service.Engine, Instances: instances, Groups: engine.GroupsOf(instances),
		Demand: c.averageDemand(), CommandPending: map[string]bool{}, Formed: c.formed,
		FirstEpoch: c.firstEpoch, UnansweredEpochs: c.unansweredEpochs(now),
		Reservations: c.reservations, Progress: c.Progress, LastHead: c.lastHead, SeenSince: c.seenSince, Sizes: &c.sizes, Now: now,
	}
	s.Withdraw(roster.Evacuations)
	if len(s.Demand) > 0 && c.demandSince.IsZero() {
		c.demandSince = now
	}
	if !c.demandSince.IsZero() {
		s.DemandAge = now.Sub(c.demandSince)
	}
	for domain, r := range c.reservations {
		if now.After(r.Until) {
			delete(c.reservations, domain)
		}
	}
	c.prunePendingCommands(s)
	c.prunePendingLoads(s)
	c.sizes.Observe(s.Groups, s.Profile.Size)
	c.trackGroups(s)
	initialTerm := c.cfg.FirstStart && c.term <= 1
	hasTraffic := !initialTerm || len(s.Demand) > 0
	if initialTerm && s.DemandAge < minDemandAge {
		// The first requests understate the demand that follows.
		s.Demand = nil
	}
	s.BeforeTraffic = !hasTraffic
	s.Loads = c.loadLimiter.available(service.Engine, c.loadsInProgress(s), hasTraffic, now)
	return s
}
