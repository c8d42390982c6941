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

// releaseAttempts limits the attempts to write a release. A previous renewal with an
// unknown outcome uses up one of them.
const releaseAttempts = 3

// shard is this node's state of one shard and its lease. All fields except mu, held,
// epoch and validUntil are used by one goroutine at a time.
type shard struct {
	name string
	key  object.Key

	// version is the version of the lease object; without a revision if it does not exist.
	version object.Version
	record  Record
	// changedAt is the time, by this process's clock, at which it first read or wrote
	// version.
	changedAt time.Time
	// recordKnown is false until the record has been read, and after a write with an
	// unknown outcome.
	recordKnown bool
	readAt      time.Time
	// maxEpoch is the highest epoch that this process has read or written.
	maxEpoch uint64
	// firstEra is the platform's era when this process first read the record.
	firstEra uint64
	// renewedAt is the time just before the last successful write was sent.
	renewedAt time.Time
	// preferred is the preferred holder if it is not this node.
	preferred string
	// preferredSince is the time since which preferred is the preferred holder.
	preferredSince time.Time

	mu sync.Mutex
	// held reports whether this node holds the lease, unless validUntil has passed.
	held  bool
	epoch uint64
	// validUntil is the time, by this process's clock, until which the lease is valid.
	validUntil time.Time
	// suspended is the time for which the machine had been suspended when validUntil was
	// set.
	suspended time.Duration
}

// snapshot returns the published form of the shard, and whether it is held.
func (s *shard) snapshot() (blackboard.HeldShard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return blackboard.HeldShard{Epoch: s.epoch, ValidUntil: s.validUntil, Suspended: s.suspended}, s.held
}

// shouldRelease reports whether this node should release the shard: another member has
// been the preferred holder for HandoverDelay, or this node is no longer a candidate.
func (s *shard) shouldRelease(order []string, cfg Config, now time.Time) bool {
	if !slices.Contains(order, cfg.Node) {
		return true
	}
	if order[0] == cfg.Node {
		s.preferred = ""
		return false
	}
	if s.preferred != order[0] {
		s.preferred, s.preferredSince = order[0], now
	}
	return now.Sub(s.preferredSince) >= cfg.HandoverDelay
}

// advance renews a held lease when it is due. If the lease is not held, advance reads its
// record if this node is one of the watchers, and acquires the lease once it is
// acquirable.
func (s *shard) advance(ctx context.Context, m *Manager, order []string) {
	rank := slices.Index(order, m.cfg.Node)
	if rank < 0 || (!s.held && rank >= m.cfg.Watchers) {
		s.recordKnown = false
		return
	}
	now := time.Now()
	if !s.recordKnown || (!s.held && now.Sub(s.readAt) >= m.cfg.RenewInterval) {
		if !s.read(ctx, m) {
			return
		}
	}
	switch {
	case s.held:
		if now.Sub(s.renewedAt) >= m.cfg.RenewInterval {
			next := s.record
			next.Renewal++
			s.write(ctx, m, next)
		}
	case s.acquirable(m.cfg, rank):
		next := Record{Holder: m.cfg.Node, Boot: m.cfg.Boot, Epoch: nextEpoch(max(s.record.Epoch, s.maxEpoch), s.version.Era(), s.fromEarlierEra()),
			DurationMs: m.cfg.Duration.Milliseconds(), Era: s.version.Era()}
		if s.write(ctx, m, next) {
			m.acquisitions.Inc(1)
			level.Info(m.logger).Log("msg", "shard acquired", "shard", s.name, "epoch", next.Epoch)
		}
	}
}

// acquirable reports whether the lease does not exist, was released, or has not changed
// for its duration by this process's monotonic clock. Candidates after the preferred one
// (rank 0) wait longer, so that it, which reads the record every RenewInterval, can
// acquire the lease first. They do not wait indefinitely, because it may be unable to
// reach the platform.
//
// After a restore of the platform from an older copy, the record doesn't show who holds the
// lease, and the holder may not know yet that it has lost it.
func (s *shard) acquirable(cfg Config, rank int) bool {
	delay := 2 * time.Duration(rank) * cfg.RenewInterval
	duration := max(cfg.Duration, time.Duration(s.record.DurationMs)*time.Millisecond)
	if s.fromEarlierEra() {
		return time.Since(s.changedAt) >= duration+delay
	}
	if !s.version.Exists() || s.record.Released {
		return time.Since(s.changedAt) >= delay
	}
	if cfg.ExclusiveProcess && s.record.Holder == cfg.Node && s.record.Boot != cfg.Boot {
		return true
	}
	if s.record.Holder == cfg.Node && s.record.Boot == cfg.Boot {
		// An earlier write of this process took effect, but its result was lost.
		return true
	}
	return time.Since(s.changedAt) >= duration+delay
}

// fromEarlierEra reports whether the platform was restored since the record was written, or
// since this process first read the record if there is none.
func (s *shard) fromEarlierEra() bool {
	if s.version.Exists() {
		return s.record.Era != s.version.Era()
	}
	return s.firstEra != s.version.Era()
}

// read reads the record and updates whether this node holds the lease. It returns false
// if the read failed.
func (s *shard) read(ctx context.Context, m *Manager) bool {
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	o, err := m.store.Get(callCtx, s.key)
	var record Record
	switch {
	case errors.Is(err, object.ErrNotFound):
	case err != nil:
		return false
	default:
		if record, err = decodeRecord(o.Value); err != nil && o.Version != s.version {
			// An invalid record is treated like that of an unknown holder: it is replaced
			// if it has not changed for the lease duration.
			_ = level.Error(m.logger).Log("msg", "invalid lease record; treating its holder as unknown", "shard", s.name, "revision", o.Version.Revision(), "err", err)
		}
	}
	now := time.Now()
	if s.changedAt.IsZero() {
		s.firstEra = o.Version.Era()
	}
	if o.Version != s.version || s.changedAt.IsZero() {
		s.changedAt = now
	}
	s.maxEpoch = max(s.maxEpoch, record.Epoch)
	s.version, s.record, s.readAt, s.recordKnown = o.Version, record, now, true
	if s.held && !s.ownsRecord(m.cfg) {
		level.Warn(m.logger).Log("msg", "shard lost; this process no longer holds its lease", "shard", s.name, "holder", record.Holder)
		s.clearHeld()
	}
	return true
}

// ownsRecord reports whether the last record is the current lease of this process.
func (s *shard) ownsRecord(cfg Config) bool {
	return s.record.Holder == cfg.Node && s.record.Boot == cfg.Boot &&
		s.record.Epoch == s.epoch && !s.record.Released && !s.fromEarlierEra()
}

// write writes the record, conditional on the known version, and reports whether it took
// effect. The lease duration starts just before the write is sent. If the outcome of the
// write is unknown, it is determined by a read.
func (s *shard) write(ctx context.Context, m *Manager, next Record) bool {
	body, err := json.Marshal(next)
	if err != nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	sentAt, suspended := time.Now(), m.cfg.Suspended()
	version, err := m.store.Update(callCtx, s.key, s.version, body)
	if err == nil {
		s.version, s.record, s.changedAt = version, next, time.Now()
		if s.fromEarlierEra() {
			// The record was created in a later era than it states, so it is nobody's lease.
			return false
		}
		s.setLease(next, sentAt, suspended, m.cfg)
		return true
	}
	if s.held {
		level.Warn(m.logger).Log("msg", "error renewing lease", "shard", s.name, "good_for_ms", time.Until(s.validUntil).Milliseconds(), "err", err)
	}
	if errors.Is(err, object.ErrUnavailable) {
		return false
	}
	s.recordKnown = false
	if !s.read(ctx, m) || s.record != next || s.fromEarlierEra() {
		return false
	}
	s.setLease(next, sentAt, suspended, m.cfg)
	return true
}

// setLease sets the state after a successful write of record that was sent at sentAt,
// when the machine had been suspended for the given time.
func (s *shard) setLease(record Record, sentAt time.Time, suspended time.Duration, cfg Config) {
	s.record, s.renewedAt, s.recordKnown, s.maxEpoch = record, sentAt, true, max(s.maxEpoch, record.Epoch)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = !record.Released
	s.epoch = record.Epoch
	s.validUntil, s.suspended = sentAt.Add(cfg.Duration), suspended
}

// clearHeld marks the shard as not held.
func (s *shard) clearHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
}

// release stops holding the shard and marks its lease as released. If no write
// succeeds, the lease expires.
func (s *shard) release(ctx context.Context, m *Manager) {
	s.clearHeld()
	s.preferred = ""
	for range releaseAttempts {
		if !s.recordKnown && !s.read(ctx, m) {
			continue
		}
		if !s.ownsRecord(m.cfg) {
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
