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
	"github.com/rattanlanding/rattanlanding/object"
)

// Defaults of Config.
const (
	// DefaultDuration is the lease duration.
	DefaultDuration = 4 * time.Second
	// DefaultRenew is the time between renewals: two may fail before the lease
	// expires.
	DefaultRenew = 1300 * time.Millisecond
	// DefaultStable is how long another member must be first choice before a
	// shard is given up, so that a flapping member moves no shard.
	DefaultStable = 5 * time.Second
	// DefaultSuspect is the silence after which a member gets no shard.
	DefaultSuspect = 3 * time.Second
	// DefaultCallTimeout limits one call to the platform. It is below the lease
	// duration less one renewal, so a slow call alone does not lose the lease.
	DefaultCallTimeout = time.Second
	// DefaultWatchers is the number of candidates that read the record of a shard.
	// The second one knows how long the record is unchanged when the first one dies.
	DefaultWatchers = 2
)

// Config configures a Manager. Zero durations take the defaults.
type Config struct {
	// Node and Boot identify this process.
	Node        string
	Boot        string
	Duration    time.Duration
	Renew       time.Duration
	Stable      time.Duration
	Suspect     time.Duration
	CallTimeout time.Duration
	// Watchers is the number of candidates that read the record of a shard.
	Watchers int
	// SoleBoot tells that a process only starts once the earlier one of its name has
	// ended, so that it takes over that one's leases at once.
	SoleBoot bool
}

// withDefaults returns c with its zero fields set.
func (c Config) withDefaults() Config {
	c.Duration = cmp.Or(c.Duration, DefaultDuration)
	c.Renew = cmp.Or(c.Renew, DefaultRenew)
	c.Stable = cmp.Or(c.Stable, DefaultStable)
	c.Suspect = cmp.Or(c.Suspect, DefaultSuspect)
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.Watchers = cmp.Or(c.Watchers, DefaultWatchers)
	return c
}

// Store holds the records of leases. Errors are those of object.Store.
type Store interface {
	Get(ctx context.Context, key object.Key) (object.Object, error)
	Update(ctx context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error)
}

// Manager claims, renews and releases the shards of this node and publishes
// those it holds.
type Manager struct {
	cfg    Config
	store  Store
	board  *blackboard.Board
	shards func() []string
	logger log.Logger
	held   metrics.Gauge
	taken  metrics.Counter

	states map[string]*shard
}

// New returns a manager for the shards that the function names.
func New(cfg Config, store Store, board *blackboard.Board, shards func() []string,
	logger log.Logger, registry metrics.Registry) *Manager {
	cfg = cfg.withDefaults()
	return &Manager{
		cfg: cfg, store: store, board: board, shards: shards,
		logger: log.With(logger, "component", "lease"),
		held:   metrics.GetOrRegisterGauge("lease.held", registry),
		taken:  metrics.GetOrRegisterCounter("lease.claims", registry),
		states: make(map[string]*shard),
	}
}

// Run manages leases until ctx ends, then releases all and returns nil.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.cfg.Renew / 5)
	defer ticker.Stop()
	for {
		m.step(ctx)
		select {
		case <-ctx.Done():
			m.releaseAll(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		}
	}
}

// step does what is due for each shard and publishes the result. Shards are
// handled in parallel, so one slow call does not delay the other renewals.
func (m *Manager) step(ctx context.Context) {
	members := m.board.Members.Load()
	if members == nil {
		return
	}
	m.syncShards()
	now := time.Now()
	var all sync.WaitGroup
	giveUp := make([]*shard, 0, len(m.states))
	for _, s := range m.states {
		order := candidates(s.name, members, m.cfg.Suspect, now)
		if s.held && s.mustGiveUp(order, m.cfg, now) {
			giveUp = append(giveUp, s)
			continue
		}
		all.Go(func() { s.advance(ctx, m, order) })
	}
	if len(giveUp) > 0 {
		m.release(ctx, giveUp)
	}
	all.Wait()
	m.publish(nil)
}

// syncShards adds new shards and drops the ones that no longer exist. A held
// one is given up by expiry.
func (m *Manager) syncShards() {
	names := m.shards()
	for _, name := range names {
		if m.states[name] == nil {
			m.states[name] = &shard{name: name, key: object.Key{Kind: Kind, Name: name}}
		}
	}
	for name := range m.states {
		if !slices.Contains(names, name) {
			delete(m.states, name)
		}
	}
}

// releaseAll gives up every held shard, as on graceful shutdown.
func (m *Manager) releaseAll(ctx context.Context) {
	var all []*shard
	for _, s := range m.states {
		if s.held {
			all = append(all, s)
		}
	}
	m.release(ctx, all)
}

// release withdraws the shards from the blackboard first, so that nothing more
// is done under them here when another node claims them.
func (m *Manager) release(ctx context.Context, given []*shard) {
	m.publish(given)
	var all sync.WaitGroup
	for _, s := range given {
		all.Go(func() { s.release(ctx, m) })
	}
	all.Wait()
}

// publish writes the held shards to the blackboard, without those in except. It
// is called only while no shard is being advanced, or before any result of the
// pass matters.
func (m *Manager) publish(except []*shard) {
	now := time.Now()
	held := make(map[string]blackboard.HeldShard)
	for _, s := range m.states {
		h, ok := s.snapshot()
		if ok && now.Before(h.GoodUntil) && !slices.Contains(except, s) {
			held[s.name] = h
		}
	}
	m.held.Update(int64(len(held)))
	m.board.Shards.Publish(&blackboard.Shards{Held: held})
}
