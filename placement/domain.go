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

// domain is the state of one fabric domain under one lease epoch. It is used by
// one pass at a time and starts empty, so everything that depends on time past
// is counted from when this holder began to watch.
type domain struct {
	name  string
	epoch uint64
	r     *Reconciler

	// known is false until the placement was read, and after an unknown outcome.
	known    bool
	version  object.Version
	current  fleet.Placement
	watch    *watch
	loads    float64
	loadsAt  time.Time
	pending  map[string]pendingCommand
	released map[string]time.Time
}

func newDomain(name string, epoch uint64, r *Reconciler) *domain {
	return &domain{
		name: name, epoch: epoch, r: r,
		watch:    newWatch(),
		loads:    1,
		loadsAt:  time.Now(),
		pending:  make(map[string]pendingCommand),
		released: make(map[string]time.Time),
	}
}

func (d *domain) key() object.Key { return object.Key{Kind: Kind, Name: d.name} }

func (d *domain) good() bool { return d.r.leaseGood(ShardPrefix+d.name, d.epoch) }

// newest tells whether no newer placement than the one acted on was read.
func (d *domain) newest() bool { return d.known && d.r.boardVersion(d.name) <= d.version }

// reconcile makes one pass: read, plan, write, command.
func (d *domain) reconcile(ctx context.Context) {
	config := d.r.board.Configuration.Load()
	if config == nil || !d.good() {
		return
	}
	if !d.newest() && !d.read(ctx) {
		return
	}
	now := time.Now()
	input := d.observe(config, now)
	result, err := Plan(input, d.r.policy)
	if err != nil {
		level.Error(d.r.logger).Log("msg", "plan refused", "domain", d.name, "err", err)
	}
	if err == nil && result.Changed && !d.write(ctx, &result) {
		return
	}
	d.command(ctx, input)
}

// observe collects the input of a plan.
func (d *domain) observe(config *fleet.Configuration, now time.Time) *Input {
	d.watch.update(d, now)
	d.refillLoads(now)
	input := &Input{
		FabricDomain: d.name,
		Services:     make(map[string]fleet.Service, len(config.Services)),
		Current:      d.current,
		Instances:    d.watch.views(d, now),
		GroupAge:     d.watch.ages(now),
		LoadsAllowed: int(d.loads),
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

// refillLoads adds this shard's share of the allowed weight loads. The balance
// may be negative after a group of many loads was formed. A new holder starts
// with one load, because the one before may have used up the share.
func (d *domain) refillLoads(now time.Time) {
	shards := float64(max(1, len(Shards(d.r.board)())))
	burst := max(1, d.r.cfg.LoadBurst/shards)
	d.loads = min(burst, d.loads+now.Sub(d.loadsAt).Minutes()*d.r.cfg.LoadsPerMinute/shards)
	d.loadsAt = now
}

// read fetches the newest placement.
func (d *domain) read(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, d.r.cfg.CallTimeout)
	defer cancel()
	d.known = false
	o, err := d.r.store.Get(limited, d.key())
	placement := fleet.Placement{FabricDomain: d.name, NextGeneration: 1}
	switch {
	case errors.Is(err, object.ErrNotFound):
		o = object.Object{}
	case err != nil:
		return false
	default:
		if err := json.Unmarshal(o.Value, &placement); err != nil {
			level.Error(d.r.logger).Log("msg", "unreadable placement", "domain", d.name, "err", err)
			return false
		}
	}
	if o.Version < d.r.boardVersion(d.name) || o.Version < d.version {
		// The platform shows an older version, as after a restore from a
		// backup. Nothing is done until it is at least as new as what is known.
		d.r.behind.Inc(1)
		return false
	}
	if o.Version != d.version {
		// Versions in between were not seen: any instance may have been in a
		// group meanwhile.
		d.watch.forgetUnplaced()
	}
	d.adopt(o.Version, placement, o.Value)
	return true
}

// write stores the plan on the version that it was made from. A refused or
// unknown outcome is settled by the read of the next pass.
func (d *domain) write(ctx context.Context, result *Result) bool {
	body, err := json.Marshal(&result.Next)
	if err != nil || !d.good() || !d.newest() {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, d.r.cfg.CallTimeout)
	defer cancel()
	version, err := d.r.store.Update(limited, d.key(), d.version, body)
	if err != nil {
		d.r.refused.Inc(1)
		d.known = errors.Is(err, object.ErrUnavailable) && d.known
		level.Warn(d.r.logger).Log("msg", "placement not written", "domain", d.name, "err", err)
		return false
	}
	d.r.writes.Inc(1)
	d.r.logPlan(d.name, result)
	d.loads -= float64(result.Loads)
	d.adopt(version, result.Next, body)
	return true
}

// adopt takes over a placement that was read or written.
func (d *domain) adopt(version object.Version, placement fleet.Placement, body []byte) {
	d.version, d.current, d.known = version, placement, true
	d.watch.adopt(&placement, time.Now())
	if version > 0 {
		d.r.publisher.Publish(ShardPrefix+d.name, uint64(version), body)
	}
}
