package lease

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/object"
)

// releaseAttempts bounds the tries to write a release. An earlier renewal with
// unknown outcome costs one of them.
const releaseAttempts = 3

// shard is what this node knows about one lease. Its fields but mu, held, epoch
// and goodUntil are used by one goroutine at a time.
type shard struct {
	name string
	key  object.Key

	version object.Version
	record  Record
	// changedAt is this process's clock when it saw version for the first time.
	changedAt time.Time
	// known is false until the record was read, and after an unknown outcome.
	known  bool
	readAt time.Time
	// renewedAt is the time before the newest successful write was sent.
	renewedAt time.Time
	// rival is the first choice other than this node, since rivalSince.
	rival      string
	rivalSince time.Time

	mu        sync.Mutex
	held      bool
	epoch     uint64
	goodUntil time.Time
}

// snapshot returns the published form of a held shard.
func (s *shard) snapshot() (blackboard.HeldShard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return blackboard.HeldShard{Epoch: s.epoch, GoodUntil: s.goodUntil}, s.held
}

// mustGiveUp tells whether another member should hold the shard and has been
// first choice for the stable time, or this node takes part no more.
func (s *shard) mustGiveUp(order []string, cfg Config, now time.Time) bool {
	if !slices.Contains(order, cfg.Node) {
		return true
	}
	if order[0] == cfg.Node {
		s.rival = ""
		return false
	}
	if s.rival != order[0] {
		s.rival, s.rivalSince = order[0], now
	}
	return now.Sub(s.rivalSince) >= cfg.Stable
}

// advance renews a held lease, or watches and claims one that this node should
// hold.
func (s *shard) advance(ctx context.Context, m *Manager, order []string) {
	rank := slices.Index(order, m.cfg.Node)
	if rank < 0 || (!s.held && rank >= m.cfg.Watchers) {
		s.known = false
		return
	}
	now := time.Now()
	if !s.known || (!s.held && now.Sub(s.readAt) >= m.cfg.Renew) {
		if !s.read(ctx, m) {
			return
		}
	}
	switch {
	case s.held:
		if now.Sub(s.renewedAt) >= m.cfg.Renew {
			next := s.record
			next.Renewal++
			s.write(ctx, m, next)
		}
	case s.claimable(m.cfg, rank):
		next := Record{Holder: m.cfg.Node, Boot: m.cfg.Boot, Epoch: s.record.Epoch + 1,
			DurationMs: m.cfg.Duration.Milliseconds()}
		if s.write(ctx, m, next) {
			m.taken.Inc(1)
			level.Info(m.logger).Log("msg", "shard claimed", "shard", s.name, "epoch", next.Epoch)
		}
	}
}

// claimable tells whether the lease is absent, released, or unchanged for its
// duration by this process's monotonic clock. Later choices leave the first one time
// to read it, each Renew, and to claim it; it may be unable to reach the platform.
func (s *shard) claimable(cfg Config, rank int) bool {
	waits := 2 * time.Duration(rank) * cfg.Renew
	if s.version == 0 || s.record.Released {
		return time.Since(s.changedAt) >= waits
	}
	if cfg.SoleBoot && s.record.Holder == cfg.Node && s.record.Boot != cfg.Boot {
		return true
	}
	if s.record.Holder == cfg.Node && s.record.Boot == cfg.Boot {
		// An earlier write of this process took effect without an answer.
		return true
	}
	lasts := max(cfg.Duration, time.Duration(s.record.DurationMs)*time.Millisecond)
	return time.Since(s.changedAt) >= lasts+waits
}

// read fetches the record and settles whether this node holds the lease.
func (s *shard) read(ctx context.Context, m *Manager) bool {
	limited, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	o, err := m.store.Get(limited, s.key)
	var record Record
	switch {
	case errors.Is(err, object.ErrNotFound):
		o = object.Object{Key: s.key}
	case err != nil:
		return false
	default:
		if err := json.Unmarshal(o.Value, &record); err != nil {
			// An unreadable record is treated like one of an unknown holder: it
			// is replaced when it has not changed for the lease duration.
			level.Error(m.logger).Log("msg", "unreadable lease", "shard", s.name, "err", err)
		}
	}
	now := time.Now()
	if o.Version != s.version || s.changedAt.IsZero() {
		s.changedAt = now
	}
	s.version, s.record, s.readAt, s.known = o.Version, record, now, true
	if s.held && !s.mine(m.cfg) {
		level.Warn(m.logger).Log("msg", "shard lost", "shard", s.name, "holder", record.Holder)
		s.drop()
	}
	return true
}

// mine tells whether the last record read is this process's own lease.
func (s *shard) mine(cfg Config) bool {
	return s.record.Holder == cfg.Node && s.record.Boot == cfg.Boot &&
		s.record.Epoch == s.epoch && !s.record.Released
}

// write stores the record on the known version. The lease is good from before
// the write was sent. An unknown outcome is resolved by reading.
func (s *shard) write(ctx context.Context, m *Manager, next Record) bool {
	body, err := json.Marshal(next)
	if err != nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	before := time.Now()
	version, err := m.store.Update(limited, s.key, s.version, body)
	if err == nil {
		s.version, s.changedAt = version, time.Now()
		s.accept(next, before, m.cfg)
		return true
	}
	if s.held {
		level.Warn(m.logger).Log("msg", "lease not renewed", "shard", s.name, "good_for_ms", time.Until(s.goodUntil).Milliseconds(), "err", err)
	}
	if errors.Is(err, object.ErrUnavailable) {
		return false
	}
	s.known = false
	if !s.read(ctx, m) || s.record != next {
		return false
	}
	s.accept(next, before, m.cfg)
	return true
}

func (s *shard) accept(record Record, before time.Time, cfg Config) {
	s.record, s.renewedAt, s.known = record, before, true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = !record.Released
	s.epoch = record.Epoch
	s.goodUntil = before.Add(cfg.Duration)
}

func (s *shard) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
}

// release marks the lease as given up. If no write succeeds the lease expires.
func (s *shard) release(ctx context.Context, m *Manager) {
	s.drop()
	s.rival = ""
	for range releaseAttempts {
		if !s.known && !s.read(ctx, m) {
			continue
		}
		if !s.mine(m.cfg) {
			return
		}
		next := s.record
		next.Released = true
		next.Renewal++
		if s.write(ctx, m, next) {
			level.Info(m.logger).Log("msg", "shard released", "shard", s.name, "epoch", next.Epoch)
			return
		}
	}
}
