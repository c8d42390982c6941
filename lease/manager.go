package lease

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/internal/suspend"
	"github.com/rattanlanding/rattanlanding/object"
)

// Defaults of Config.
const (
	// DefaultDuration is the lease duration.
	DefaultDuration = 4 * time.Second
	// DefaultRenewInterval is the time between renewals. Two renewals may fail before the
	// lease expires.
	DefaultRenewInterval = 1300 * time.Millisecond
	// DefaultHandoverDelay is how long another member must be the preferred holder before
	// a shard is released, so that a flapping member does not move shards.
	DefaultHandoverDelay = 5 * time.Second
	// DefaultSuspectAfter is the time without a heartbeat after which a member is no
	// candidate for shards.
	DefaultSuspectAfter = 3 * time.Second
	// DefaultCallTimeout limits one call to the platform. It is less than the lease
	// duration minus one renewal interval, so that one slow call does not lose the lease.
	DefaultCallTimeout = time.Second
	// DefaultWatchers is the number of candidates that read the record of a shard. With
	// two, the second candidate already has the time of the last change of the record
	// when the first one dies.
	DefaultWatchers = 2
)

// Config configures a Manager. Zero durations and a zero number of watchers mean the
// defaults.
type Config struct {
	// Node is the name of this node.
	Node string
	// Boot is the boot id of this process.
	Boot string
	// Duration is the lease duration; 4 s by default.
	Duration time.Duration
	// RenewInterval is the time between renewals; 1.3 s by default.
	RenewInterval time.Duration
	// HandoverDelay is how long another member must be the preferred holder before this
	// node releases a shard; 5 s by default.
	HandoverDelay time.Duration
	// SuspectAfter is the time without a heartbeat after which a member is no candidate
	// for shards; 3 s by default.
	SuspectAfter time.Duration
	// CallTimeout is the timeout of a call to the platform; 1 s by default.
	CallTimeout time.Duration
	// Watchers is the number of candidates that read the record of a shard; 2 by
	// default.
	Watchers int
	// ExclusiveProcess states that a process only starts after the previous process with
	// its name has ended, so that it may acquire the leases of that process immediately.
	ExclusiveProcess bool
	// Suspended returns the time for which the machine has been suspended; suspend.Total
	// by default.
	Suspended func() time.Duration
}

// withDefaults returns a copy of c in which zero fields have their defaults.
func (c Config) withDefaults() Config {
	c.Duration = cmp.Or(c.Duration, DefaultDuration)
	c.RenewInterval = cmp.Or(c.RenewInterval, DefaultRenewInterval)
	c.HandoverDelay = cmp.Or(c.HandoverDelay, DefaultHandoverDelay)
	c.SuspectAfter = cmp.Or(c.SuspectAfter, DefaultSuspectAfter)
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.Watchers = cmp.Or(c.Watchers, DefaultWatchers)
	if c.Suspended == nil {
		c.Suspended = suspend.Total
	}
	return c
}

// Store stores lease records. Its errors are those of object.Store.
type Store interface {
	Get(ctx context.Context, key object.Key) (object.Object, error)
	Update(ctx context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error)
}

// Manager acquires, renews and releases the leases of shards for this node and
// publishes the shards that it holds as board.Shards.
type Manager struct {
	cfg          Config
	store        Store
	board        *blackboard.Board
	shardNames   func() []string
	logger       log.Logger
	heldGauge    metrics.Gauge
	acquisitions metrics.Counter

	shards map[string]*shard
}

// New returns a manager for the shards whose names shardNames returns.
func New(cfg Config, store Store, board *blackboard.Board, shardNames func() []string,
	logger log.Logger, registry metrics.Registry) *Manager {
	cfg = cfg.withDefaults()
	return &Manager{
		cfg: cfg, store: store, board: board, shardNames: shardNames,
		logger:       log.With(logger, "component", "lease"),
		heldGauge:    metrics.GetOrRegisterGauge("lease.held", registry),
		acquisitions: metrics.GetOrRegisterCounter("lease.claims", registry),
		shards:       make(map[string]*shard),
	}
}

// Run manages leases until ctx ends, then releases all held shards and returns nil.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.cfg.RenewInterval / 5)
	defer ticker.Stop()
	for {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
			m.releaseAll(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		}
	}
}

// reconcile renews, acquires or releases each lease if that is due, and publishes the
// held shards. Shards are processed concurrently, so that one slow call does not delay
// the renewals of other shards.
func (m *Manager) reconcile(ctx context.Context) {
	members := m.board.Members.Load()
	if members == nil {
		return
	}
	m.syncShards()
	now := time.Now()
	var wg sync.WaitGroup
	toRelease := make([]*shard, 0, len(m.shards))
	for _, s := range m.shards {
		order := candidates(s.name, members, m.cfg.SuspectAfter, now)
		if s.held && s.shouldRelease(order, m.cfg, now) {
			toRelease = append(toRelease, s)
			continue
		}
		wg.Go(func() { s.advance(ctx, m, order) })
	}
	if len(toRelease) > 0 {
		m.release(ctx, toRelease)
	}
	wg.Wait()
	m.publish(nil)
}

// syncShards adds new shards and removes those that no longer exist. The lease of a
// held shard that was removed expires.
func (m *Manager) syncShards() {
	names := m.shardNames()
	for _, name := range names {
		if m.shards[name] == nil {
			m.shards[name] = &shard{name: name, key: object.Key{Kind: Kind, Name: name}}
		}
	}
	for name := range m.shards {
		if !slices.Contains(names, name) {
			delete(m.shards, name)
		}
	}
}

// releaseAll releases all held shards for a graceful shutdown.
func (m *Manager) releaseAll(ctx context.Context) {
	var held []*shard
	for _, s := range m.shards {
		if s.held {
			held = append(held, s)
		}
	}
	m.release(ctx, held)
}

// release removes the shards from the blackboard before it releases their leases, so
// that this node no longer acts as their holder when another node acquires them.
func (m *Manager) release(ctx context.Context, shards []*shard) {
	m.publish(shards)
	var wg sync.WaitGroup
	for _, s := range shards {
		wg.Go(func() { s.release(ctx, m) })
	}
	wg.Wait()
}

// publish publishes the held shards, excluding those in except. A call while shards are
// being advanced may miss their new state, which the call at the end of the pass
// publishes.
func (m *Manager) publish(except []*shard) {
	now := time.Now()
	held := make(map[string]blackboard.HeldShard)
	for _, s := range m.shards {
		h, ok := s.snapshot()
		if ok && h.ValidFor(now, m.cfg.Suspended()) > 0 && !slices.Contains(except, s) {
			held[s.name] = h
		}
	}
	m.heldGauge.Update(int64(len(held)))
	m.board.Shards.Publish(&blackboard.Shards{Held: held})
}
