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
	// DefaultInterval is the time between two probes of an instance by one node.
	DefaultInterval = time.Second
	// DefaultTimeout limits one probe.
	DefaultTimeout = 600 * time.Millisecond
	// DefaultObservers is the number of nodes that probe an instance.
	DefaultObservers = 2
	// DefaultLossBatch is the time for which losses are collected before they
	// are announced together.
	DefaultLossBatch = 20 * time.Millisecond
	// DefaultRefreshAge is the age of evidence above which Refresh probes. It is
	// shorter than the time-to-live so that a probe can finish before the
	// evidence expires.
	DefaultRefreshAge = 2 * time.Second
	// DefaultRefreshRate limits the probes of Refresh, per second. It is the
	// burst as well.
	DefaultRefreshRate = 20
)

// errWrongInstance means that another backend server responded at the address.
var errWrongInstance = errors.New("report of another instance")

// Config configures a Prober. Zero durations and counts take the defaults.
type Config struct {
	// Node is this node's name.
	Node string
	// Interval is the time between two probes of an instance by one node.
	Interval time.Duration
	// Timeout limits one probe.
	Timeout time.Duration
	// Observers is the number of nodes that probe an instance.
	Observers int
	// LossBatch is the time for which losses are collected before they are
	// announced together.
	LossBatch time.Duration
	// RefreshAge is the age of evidence above which Refresh probes.
	RefreshAge time.Duration
	// RefreshRate limits the probes of Refresh, per second.
	RefreshRate int
}

// withDefaults returns c with its zero fields set to the defaults.
func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Observers = cmp.Or(c.Observers, DefaultObservers)
	c.LossBatch = cmp.Or(c.LossBatch, DefaultLossBatch)
	c.RefreshAge = cmp.Or(c.RefreshAge, DefaultRefreshAge)
	c.RefreshRate = cmp.Or(c.RefreshRate, DefaultRefreshRate)
	return c
}

// Prober probes the instances that are assigned to this node.
type Prober struct {
	cfg       Config
	board     *blackboard.Board
	table     *Table
	source    StatusSource
	announcer LossAnnouncer
	logger    log.Logger
	probes    metrics.Counter
	failures  metrics.Counter

	// refreshes shares one round of probes among concurrent calls of Refresh.
	refreshes singleflight.Group
	// refreshLimiter limits the probes of Refresh.
	refreshLimiter *rate.Limiter

	mu sync.Mutex
	// losses are the losses to be announced with the next batch.
	losses []blackboard.Loss
	// down holds the instances whose probe failed and of which no probe by this
	// node has succeeded since.
	down map[string]bool
}

// NewProber returns a Prober that records the outcomes of probes in table.
func NewProber(cfg Config, board *blackboard.Board, table *Table, source StatusSource,
	announcer LossAnnouncer, logger log.Logger, registry metrics.Registry) *Prober {
	cfg = cfg.withDefaults()
	return &Prober{
		cfg: cfg, board: board, table: table, source: source, announcer: announcer,
		logger:         log.With(logger, "component", "prober"),
		probes:         metrics.GetOrRegisterCounter("health.probes", registry),
		failures:       metrics.GetOrRegisterCounter("health.probe_failures", registry),
		refreshLimiter: rate.NewLimiter(rate.Limit(cfg.RefreshRate), cfg.RefreshRate),
		down:           make(map[string]bool),
	}
}

// Run probes the assigned instances until ctx ends, waits for probes in flight
// and returns nil.
func (p *Prober) Run(ctx context.Context) error {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	due := make(map[string]time.Time)
	assigned := assignment{node: p.cfg.Node, observers: p.cfg.Observers}
	for {
		members, config := p.board.Members.Changed(), p.board.Configuration.Changed()
		instances, placements := p.board.Instances.Changed(), p.board.Placements.Changed()
		next := p.startDue(ctx, assigned.targets(p.board), due, &inFlight)
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

// startDue starts the probes that are due, and those of new targets at once. It
// updates due, the time of each target's next probe, and returns the earliest.
func (p *Prober) startDue(ctx context.Context, targets map[string]target, due map[string]time.Time, inFlight *sync.WaitGroup) time.Time {
	for id := range due {
		if _, still := targets[id]; !still {
			delete(due, id)
		}
	}
	p.pruneDown(targets)
	now := time.Now()
	next := now.Add(p.cfg.Interval)
	for id, t := range targets {
		at, known := due[id]
		if !known || !at.After(now) {
			inFlight.Go(func() { p.probeAndAnnounce(ctx, t) })
			at = p.nextProbeTime(id, now, known)
			due[id] = at
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// nextProbeTime returns the time of the probe after the one that starts now. The
// second probe of each instance is at an offset within the interval that depends
// on the instance and the node, so that probes are spread over the interval.
func (p *Prober) nextProbeTime(id string, now time.Time, known bool) time.Time {
	if known {
		return now.Add(p.cfg.Interval)
	}
	spread := rendezvous.Score(id, p.cfg.Node) % uint64(p.cfg.Interval)
	// The probe in flight must end before the next one starts.
	return now.Add(max(time.Duration(spread), p.cfg.Timeout))
}

// probeAndAnnounce probes a target and announces a new loss.
func (p *Prober) probeAndAnnounce(ctx context.Context, t target) {
	failure, err := p.probe(ctx, t)
	if ctx.Err() != nil {
		return
	}
	if p.isNewLoss(t.instance, err != nil, failure.hadEvidence) {
		level.Debug(p.logger).Log("msg", "probe failed", "instance", t.instance, "err", err)
		p.announce(failure.loss)
	}
}

// isNewLoss records the outcome of a probe and reports whether to announce a
// loss. An announcement is a call to every member, so the loss of an instance
// that stays down is announced again only if the table had evidence of it.
func (p *Prober) isNewLoss(instance string, failed, hadEvidence bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	announced := p.down[instance]
	if !failed {
		delete(p.down, instance)
		return false
	}
	p.down[instance] = true
	return hadEvidence || !announced
}

// pruneDown deletes the instances that are no longer targets from down.
func (p *Prober) pruneDown(targets map[string]target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.down, func(instance string, _ bool) bool {
		_, still := targets[instance]
		return !still
	})
}

// failure describes a failed probe.
type failure struct {
	loss blackboard.Loss
	// hadEvidence is true if the table had evidence of the instance.
	hadEvidence bool
}

// probe probes one backend server and records the outcome in the table. If the
// probe failed, it returns an error and the failure. A probe that is cancelled by
// ctx is not recorded, because it says nothing about the instance.
func (p *Prober) probe(ctx context.Context, t target) (failure, error) {
	p.probes.Inc(1)
	sent := time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	report, err := p.source.Status(probeCtx, t.address)
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
	evidence, hadEvidence := p.table.Get(t.instance)
	loss.Boot = evidence.Report.Boot
	p.failures.Inc(1)
	p.table.RecordLoss(loss)
	return failure{loss, hadEvidence}, err
}

// announce adds a loss to the batch, which is announced after LossBatch, so that
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

// memberTarget returns the target for a group member.
func memberTarget(m fleet.GroupMember) target {
	return target{instance: m.Instance, address: m.Address}
}
