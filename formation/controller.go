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
	// Suspecting returns the number of nodes that found the group of a head silent.
	Suspecting func(head string) int
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

	mu sync.Mutex
	tenure
	// reported is the time of the last line on the state of all groups.
	reported time.Time
	loads    loadLimit
}

// tenure is what a holder knows in one term. It starts with nothing but the list.
type tenure struct {
	term      uint64
	since     time.Time
	nextEpoch uint64
	// ordered and staging are orders and loads whose effect isn't listed yet, by
	// instance.
	ordered map[string]order
	staging map[string]staging
	// unanswered are joins that may still be carried out, by instance.
	unanswered map[string]unansweredJoin
	// reserved keeps the free instances of some domains for one model each.
	reserved map[string]Reservation
	formed   map[engine.GroupID]Formation
	// headLost tells since when the head of a group is missing from the list.
	headLost map[engine.GroupID]time.Time
	lastHead map[engine.GroupID]*engine.Instance
	seen     map[engine.GroupID]time.Time
	// known and knownSince tell how long the number of instances is unchanged.
	known      int
	knownSince time.Time
	demand     map[string]float64
	// demandSince is the time of the first demand.
	demandSince time.Time
	// lost are instances that didn't answer although they are listed.
	lost map[string]lostInstance
	// examined tells when a head's group was examined last.
	examined map[string]time.Time
}

func newTenure(term uint64, now time.Time) tenure {
	return tenure{
		term: term, since: now, nextEpoch: term * epochsPerTerm,
		ordered: map[string]order{}, staging: map[string]staging{},
		unanswered: map[string]unansweredJoin{}, reserved: map[string]Reservation{},
		formed:   map[engine.GroupID]Formation{},
		headLost: map[engine.GroupID]time.Time{}, lastHead: map[engine.GroupID]*engine.Instance{},
		seen: map[engine.GroupID]time.Time{}, demand: map[string]float64{},
		lost: map[string]lostInstance{}, examined: map[string]time.Time{},
	}
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
		c.tenure = newTenure(term.Number, now)
		_ = level.Info(c.Logger).Log("msg", "forming groups from now on", "term", term.Number,
			"instances", len(roster.ByService[service.Name]))
	}
	for _, g := range roster.Groups[service.Name] {
		c.nextEpoch = max(c.nextEpoch, g.ID.Epoch+1)
	}
	s := c.situation(service, roster, now)
	if (now.Sub(c.since) < takeoverDelay && len(s.Groups) > 0) || c.gathering(s) {
		return
	}
	c.examineSuspects(ctx, s)
	s.Repeatable = configuration.Repeatable(service.Name)
	c.carryOut(ctx, Make(s))
	c.report(s)
	c.freeOrphans(ctx, s)
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

// situation gathers what a plan is made from, and drops what is out of date.
func (c *Controller) situation(service *catalog.Service, roster *engine.Roster, now time.Time) *Situation {
	instances := c.withoutLost(roster.ByService[service.Name], now)
	s := &Situation{
		Profile: service.Engine, Instances: instances, Groups: engine.GroupsOf(instances),
		Demand: c.average(), Ordered: map[string]bool{}, Formed: c.formed,
		FirstEpoch: c.term * epochsPerTerm, Unanswered: c.unansweredEpochs(now),
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
	first := c.cfg.FirstStart && c.term <= 1
	began := !first || len(s.Demand) > 0
	if first && s.DemandFor < settledDemand {
		// The first requests show less than the demand to come.
		s.Demand = nil
	}
	s.LoadsAreShort = !began
	s.Loads = c.loads.available(service.Engine, c.loading(s), began, now)
	return s
}
