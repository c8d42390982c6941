package health

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/rendezvous"
)

// Defaults of Config.
const (
	// DefaultInterval is the time between two probes of an instance.
	DefaultInterval = time.Second
	// DefaultTimeout limits one probe.
	DefaultTimeout = 600 * time.Millisecond
	// DefaultObservers is the number of nodes that probe an instance.
	DefaultObservers = 2
	// DefaultLossBatch is the time for which losses are collected.
	DefaultLossBatch = 20 * time.Millisecond
	// DefaultRefreshAge is the age of shared evidence beyond which Refresh
	// probes. It is below the time-to-live so that a probe can finish in time.
	DefaultRefreshAge = 2 * time.Second
	// DefaultRefreshRate bounds the extra probes of Refresh, per second.
	DefaultRefreshRate = 20
)

// errWrongInstance means that another backend server answered at the address.
var errWrongInstance = errors.New("report of another instance")

// Config configures a Prober. Zero durations and counts take the defaults.
type Config struct {
	// Node is this node's name.
	Node        string
	Interval    time.Duration
	Timeout     time.Duration
	Observers   int
	LossBatch   time.Duration
	RefreshAge  time.Duration
	RefreshRate int
}

// withDefaults returns c with its zero fields set.
func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Observers = cmp.Or(c.Observers, DefaultObservers)
	c.LossBatch = cmp.Or(c.LossBatch, DefaultLossBatch)
	c.RefreshAge = cmp.Or(c.RefreshAge, DefaultRefreshAge)
	c.RefreshRate = cmp.Or(c.RefreshRate, DefaultRefreshRate)
	return c
}

// Prober probes the instances that this node observes.
type Prober struct {
	cfg       Config
	board     *blackboard.Board
	table     *Table
	source    StatusSource
	announcer LossAnnouncer
	logger    log.Logger
	probes    metrics.Counter
	failures  metrics.Counter

	flights singleflight.Group
	extra   *rate.Limiter

	mu     sync.Mutex
	losses []blackboard.Loss
	// down holds the instances whose loss was announced and that have not
	// answered a probe of this node since.
	down map[string]bool
}

// NewProber returns a prober that writes into table.
func NewProber(cfg Config, board *blackboard.Board, table *Table, source StatusSource,
	announcer LossAnnouncer, logger log.Logger, registry metrics.Registry) *Prober {
	cfg = cfg.withDefaults()
	return &Prober{
		cfg: cfg, board: board, table: table, source: source, announcer: announcer,
		logger:   log.With(logger, "component", "prober"),
		probes:   metrics.GetOrRegisterCounter("health.probes", registry),
		failures: metrics.GetOrRegisterCounter("health.probe_failures", registry),
		extra:    rate.NewLimiter(rate.Limit(cfg.RefreshRate), cfg.RefreshRate),
		down:     make(map[string]bool),
	}
}

// Run probes until ctx ends, waits for probes in flight and returns nil.
func (p *Prober) Run(ctx context.Context) error {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	due := make(map[string]time.Time)
	mine := assignment{node: p.cfg.Node, observers: p.cfg.Observers}
	for {
		members, config := p.board.Members.Changed(), p.board.Configuration.Changed()
		instances, placements := p.board.Instances.Changed(), p.board.Placements.Changed()
		next := p.startDue(ctx, mine.targets(p.board), due, &inFlight)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-members:
		case <-config:
		case <-instances:
		case <-placements:
		}
		timer.Stop()
	}
}

// startDue probes every target whose time has come and new targets at once. It
// returns the time of the next probe.
func (p *Prober) startDue(ctx context.Context, targets map[string]target, due map[string]time.Time, inFlight *sync.WaitGroup) time.Time {
	for id := range due {
		if _, still := targets[id]; !still {
			delete(due, id)
		}
	}
	p.forget(targets)
	now := time.Now()
	next := now.Add(p.cfg.Interval)
	for id, t := range targets {
		at, known := due[id]
		if !known || !at.After(now) {
			inFlight.Go(func() { p.probeAndAnnounce(ctx, t) })
			at = p.nextProbe(id, now, known)
			due[id] = at
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// nextProbe spreads the first regular probe of each instance over the interval;
// later probes keep that phase.
func (p *Prober) nextProbe(id string, now time.Time, known bool) time.Time {
	if known {
		return now.Add(p.cfg.Interval)
	}
	spread := rendezvous.Score(id, p.cfg.Node) % uint64(p.cfg.Interval)
	// The probe in flight must have ended before the next one starts.
	return now.Add(max(time.Duration(spread), p.cfg.Timeout))
}

func (p *Prober) probeAndAnnounce(ctx context.Context, t target) {
	failure, err := p.probe(ctx, t)
	if ctx.Err() != nil {
		return
	}
	if p.isNewLoss(t.instance, err != nil, failure.known) {
		level.Debug(p.logger).Log("msg", "probe failed", "instance", t.instance, "err", err)
		p.announce(failure.loss)
	}
}

// isNewLoss notes the outcome of a probe and tells whether it is to be announced.
// An announcement is a call to every member, so an instance that stays down is
// announced again only if evidence about it was at hand.
func (p *Prober) isNewLoss(instance string, failed, known bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	announced := p.down[instance]
	if !failed {
		delete(p.down, instance)
		return false
	}
	p.down[instance] = true
	return known || !announced
}

// forget drops the notes on instances that are no targets any more.
func (p *Prober) forget(targets map[string]target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.down, func(instance string, _ bool) bool {
		_, still := targets[instance]
		return !still
	})
}

// failure is a failed probe.
type failure struct {
	loss blackboard.Loss
	// known tells that evidence about the instance was at hand.
	known bool
}

// probe asks one backend server and records the result in the table. After an
// error it returns the failure. A probe cut off by the caller's context proves
// nothing and is not recorded.
func (p *Prober) probe(ctx context.Context, t target) (failure, error) {
	p.probes.Inc(1)
	sent := time.Now()
	limited, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	report, err := p.source.Status(limited, t.address)
	if err == nil {
		if t.plain && report.Instance == "" {
			report.Instance = t.instance
		}
		if report.Instance != t.instance {
			err = fmt.Errorf("%w: %s", errWrongInstance, report.Instance)
		}
	}
	if err == nil {
		p.table.Observe(blackboard.Observation{Report: report, ObservedAt: sent, Observer: p.cfg.Node})
		return failure{}, nil
	}
	loss := blackboard.Loss{Instance: t.instance, At: sent}
	if ctx.Err() != nil {
		return failure{loss: loss}, err
	}
	evidence, known := p.table.Get(t.instance)
	loss.Boot = evidence.Report.Boot
	p.failures.Inc(1)
	p.table.Lose(loss)
	return failure{loss, known}, err
}

// announce collects losses for LossBatch and announces them together, so that
// the loss of a rack is one message to each peer.
func (p *Prober) announce(loss blackboard.Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses = append(p.losses, loss)
	if len(p.losses) == 1 {
		time.AfterFunc(p.cfg.LossBatch, p.flushLosses)
	}
}

func (p *Prober) flushLosses() {
	p.mu.Lock()
	losses := p.losses
	p.losses = nil
	p.mu.Unlock()
	if len(losses) > 0 {
		p.announcer.AnnounceLosses(losses)
	}
}

// engine returns the probe target of a group member.
func engine(m fleet.GroupMember) target {
	return target{instance: m.Instance, address: m.Address}
}
