package placement

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/object"
)

// domain is the reconciler's state for one fabric domain under one lease epoch.
// It is used by one pass at a time. A new epoch starts with empty state, so all
// durations are counted from the time at which this holder took the shard over.
type domain struct {
	name string
	// epoch is the lease epoch under which the shard is held.
	epoch uint64
	r     *Reconciler

	// loaded is true if version and current hold a placement that was read or
	// written. It is false before the first read, after a failed read, and after
	// a write that conflicted or whose outcome is unknown.
	loaded  bool
	version object.Version
	current fleet.Placement
	tracker *instanceTracker
	// loadTokens is the token bucket that limits weight loads.
	loadTokens float64
	refilledAt time.Time
	// pending holds the newest command by instance.
	pending map[string]pendingCommand
	// released holds the time of the newest release by instance.
	released map[string]time.Time
}

func newDomain(name string, epoch uint64, r *Reconciler) *domain {
	return &domain{
		name: name, epoch: epoch, r: r,
		tracker:    newInstanceTracker(),
		loadTokens: 1,
		refilledAt: time.Now(),
		pending:    make(map[string]pendingCommand),
		released:   make(map[string]time.Time),
	}
}

func (d *domain) key() object.Key { return object.Key{Kind: Kind, Name: d.name} }

// hasLease reports whether the lease of the domain's shard is valid for at
// least the lease margin.
func (d *domain) hasLease() bool { return d.r.leaseValid(ShardPrefix+d.name, d.epoch) }

// isNewest reports whether a placement is loaded and the blackboard holds no
// newer version.
func (d *domain) isNewest() bool { return d.loaded && d.r.boardVersion(d.name) <= d.version }

// reconcile makes one pass: it reads the placement if necessary, plans, writes
// the plan and sends commands.
func (d *domain) reconcile(ctx context.Context) {
	config := d.r.board.Configuration.Load()
	if config == nil || !d.hasLease() {
		return
	}
	if !d.isNewest() && !d.read(ctx) {
		return
	}
	now := time.Now()
	input := d.observe(config, now)
	result, err := Plan(input, d.r.policy)
	if err != nil {
		level.Error(d.r.logger).Log("msg", "planned placement violates a rule and is not written", "domain", d.name, "err", err)
	}
	if err == nil && result.Changed && !d.write(ctx, &result) {
		return
	}
	d.sendCommands(ctx, input)
}

// observe returns the input of a plan.
func (d *domain) observe(config *fleet.Configuration, now time.Time) *Input {
	d.tracker.update(d, now)
	d.refillLoads(now)
	input := &Input{
		FabricDomain: d.name,
		Services:     make(map[string]fleet.Service, len(config.Services)),
		Current:      d.current,
		Instances:    d.tracker.views(d, now),
		GroupAge:     d.tracker.phaseAges(now),
		LoadsAllowed: int(d.loadTokens),
		Limits:       d.r.cfg.Limits,
		Now:          now,
	}
	for _, g := range config.Groups {
		if g.FabricDomain == d.name {
			input.Groups = append(input.Groups, g)
		}
	}
	for _, s := range config.Services {
		input.Services[s.Name] = s
	}
	return input
}

// refillLoads adds this shard's share of the allowed weight loads to the token
// bucket. The bucket may be negative after a group that needs many loads was
// formed. A new holder starts with one token, because the previous holder may
// have used up the share.
func (d *domain) refillLoads(now time.Time) {
	shards := float64(max(1, len(Shards(d.r.board)())))
	burst := max(1, d.r.cfg.LoadBurst/shards)
	d.loadTokens = min(burst, d.loadTokens+now.Sub(d.refilledAt).Minutes()*d.r.cfg.LoadsPerMinute/shards)
	d.refilledAt = now
}

// read fetches the newest placement from the platform and reports whether it
// succeeded.
func (d *domain) read(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, d.r.cfg.CallTimeout)
	defer cancel()
	d.loaded = false
	stored, err := d.r.store.Get(callCtx, d.key())
	placement := fleet.Placement{FabricDomain: d.name, NextGeneration: 1}
	switch {
	case errors.Is(err, object.ErrNotFound):
		stored = object.Object{}
	case err != nil:
		return false
	default:
		if err := json.Unmarshal(stored.Value, &placement); err != nil {
			level.Error(d.r.logger).Log("msg", "cannot decode the stored placement; domain not reconciled", "domain", d.name, "err", err)
			return false
		}
	}
	if stored.Version < d.r.boardVersion(d.name) || stored.Version < d.version {
		// The platform returned an older version than one already seen, for
		// example after a restore from a backup. Nothing is done until its
		// version has caught up.
		d.r.platformBehind.Inc(1)
		return false
	}
	if stored.Version != d.version {
		// Intermediate versions may have been missed, so any instance may have
		// been in a group meanwhile.
		d.tracker.resetUnplacedTimes()
	}
	d.setCurrent(stored.Version, placement, stored.Value)
	return true
}

// write stores the plan with a conditional update on the version from which it
// was made, and reports whether it succeeded. After a conflict or an unknown
// outcome the next pass reads the placement again.
func (d *domain) write(ctx context.Context, result *Result) bool {
	body, err := json.Marshal(&result.Next)
	if err != nil || !d.hasLease() || !d.isNewest() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, d.r.cfg.CallTimeout)
	defer cancel()
	version, err := d.r.store.Update(callCtx, d.key(), d.version, body)
	if err != nil {
		d.r.writesRefused.Inc(1)
		d.loaded = errors.Is(err, object.ErrUnavailable) && d.loaded
		level.Warn(d.r.logger).Log("msg", "writing the placement failed; planning again in the next pass", "domain", d.name, "err", err)
		return false
	}
	d.r.writes.Inc(1)
	d.r.logPlan(d.name, result)
	d.loadTokens -= float64(result.Loads)
	d.setCurrent(version, result.Next, body)
	return true
}

// setCurrent sets the placement that was read or written as the current one and
// publishes it.
func (d *domain) setCurrent(version object.Version, placement fleet.Placement, body []byte) {
	d.version, d.current, d.loaded = version, placement, true
	d.tracker.applyPlacement(&placement, time.Now())
	if version > 0 {
		d.r.publisher.Publish(ShardPrefix+d.name, uint64(version), body)
	}
}
