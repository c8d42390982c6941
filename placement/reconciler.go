package placement

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/suspend"
	"github.com/rattanlanding/rattanlanding/object"
)

const (
	// Kind is the object kind of placements; the name is the fabric domain.
	Kind = "placement"
	// ShardPrefix is the prefix of a control shard's name; the fabric domain
	// follows.
	ShardPrefix = Kind + "/"
)

// Publisher distributes a new version of a document on this node and to peers.
type Publisher interface {
	// Publish publishes a version that this node wrote or read. The name is
	// "placement/<fabric domain>".
	Publish(name string, version uint64, body []byte)
}

// Commander sends commands to engines.
type Commander interface {
	// Command sends the command to the engine at address and returns the report
	// in its response. After an error it is unknown whether the engine applied
	// the command.
	Command(ctx context.Context, address string, command fleet.Command) (fleet.Report, error)
}

// Defaults of Config.
const (
	// DefaultInterval is the time between two passes.
	DefaultInterval = 250 * time.Millisecond
	// DefaultCommandInterval is the shortest time between two commands to one
	// instance. It leaves time for the effect to appear in a report.
	DefaultCommandInterval = 500 * time.Millisecond
	// DefaultCommandTimeout limits one command.
	DefaultCommandTimeout = 600 * time.Millisecond
	// DefaultCallTimeout limits one call to the platform.
	DefaultCallTimeout = time.Second
	// DefaultLeaseMargin is the time for which a lease must still be valid
	// before anything is done under it.
	DefaultLeaseMargin = time.Second
	// DefaultTimeToLive is the time-to-live of evidence.
	DefaultTimeToLive = 2500 * time.Millisecond
	// DefaultLoadsPerMinute is the allowed rate of weight loads of all shards
	// together.
	DefaultLoadsPerMinute = 600
	// DefaultLoadBurst is the number of weight loads that all shards together
	// may start at once.
	DefaultLoadBurst = 64
	// parallelCommands limits the commands in flight for one domain.
	parallelCommands = 32
)

// Config configures a Reconciler. Zero fields take the defaults above, which
// also describe the fields.
type Config struct {
	Interval        time.Duration
	CommandInterval time.Duration
	CommandTimeout  time.Duration
	CallTimeout     time.Duration
	LeaseMargin     time.Duration
	TimeToLive      time.Duration
	// LoadsPerMinute is the refill rate of the token bucket that limits the
	// weight loads of the whole system. Each shard takes an equal share.
	LoadsPerMinute float64
	// LoadBurst is the size of that token bucket. Each shard takes an equal
	// share, at least one load.
	LoadBurst float64
	Limits    Limits
}

func (c *Config) setDefaults() {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.Interval, DefaultInterval}, {&c.CommandInterval, DefaultCommandInterval},
		{&c.CommandTimeout, DefaultCommandTimeout}, {&c.CallTimeout, DefaultCallTimeout},
		{&c.LeaseMargin, DefaultLeaseMargin}, {&c.TimeToLive, DefaultTimeToLive},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if c.LoadsPerMinute <= 0 {
		c.LoadsPerMinute = DefaultLoadsPerMinute
	}
	if c.LoadBurst <= 0 {
		c.LoadBurst = DefaultLoadBurst
	}
	c.Limits.setDefaults()
}

// Reconciler plans and applies the placement of each fabric domain whose shard
// this node holds. It works from observed state only: a pass may be interrupted
// at any point and repeated by any node.
type Reconciler struct {
	cfg            Config
	store          object.Store
	board          *blackboard.Board
	policy         Policy
	publisher      Publisher
	commander      Commander
	logger         log.Logger
	writes         metrics.Counter
	writesRefused  metrics.Counter
	platformBehind metrics.Counter
	commands       metrics.Counter

	domains map[string]*domain
}

// New returns a reconciler that uses policy for repairs.
func New(cfg Config, store object.Store, board *blackboard.Board, policy Policy, publisher Publisher,
	commander Commander, logger log.Logger, registry metrics.Registry) *Reconciler {
	cfg.setDefaults()
	return &Reconciler{
		cfg: cfg, store: store, board: board, policy: policy, publisher: publisher, commander: commander,
		logger:         log.With(logger, "component", "placement"),
		writes:         metrics.GetOrRegisterCounter("placement.writes", registry),
		writesRefused:  metrics.GetOrRegisterCounter("placement.writes_refused", registry),
		platformBehind: metrics.GetOrRegisterCounter("placement.platform_behind", registry),
		commands:       metrics.GetOrRegisterCounter("placement.commands", registry),
		domains:        make(map[string]*domain),
	}
}

// Shards returns a function that lists the names of the control shards: one for
// each fabric domain with configured or placed groups.
func Shards(board *blackboard.Board) func() []string {
	return func() []string {
		names := make(map[string]bool)
		if c := board.Configuration.Load(); c != nil {
			for i := range c.Groups {
				names[c.Groups[i].FabricDomain] = true
			}
		}
		if p := board.Placements.Load(); p != nil {
			for name := range p.ByDomain {
				names[name] = true
			}
		}
		shards := make([]string, 0, len(names))
		for name := range names {
			shards = append(shards, ShardPrefix+name)
		}
		return shards
	}
}

// Run reconciles until ctx ends and returns nil.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.cfg.Interval)
	defer ticker.Stop()
	for {
		r.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Step makes one pass over all held shards in parallel and waits until all are
// done.
func (r *Reconciler) Step(ctx context.Context) {
	shards := r.board.Shards.Load()
	if shards == nil {
		return
	}
	var wg sync.WaitGroup
	for shard, held := range shards.Held {
		name, ok := strings.CutPrefix(shard, ShardPrefix)
		if !ok {
			continue
		}
		d := r.domains[name]
		if d == nil || d.epoch != held.Epoch {
			d = newDomain(name, held.Epoch, r)
			r.domains[name] = d
		}
		wg.Go(func() { d.reconcile(ctx) })
	}
	for name := range r.domains {
		if _, held := shards.Held[ShardPrefix+name]; !held {
			delete(r.domains, name)
		}
	}
	wg.Wait()
}

// leaseValid reports whether the shard is held under epoch for at least the lease
// margin.
func (r *Reconciler) leaseValid(shard string, epoch uint64) bool {
	shards := r.board.Shards.Load()
	if shards == nil {
		return false
	}
	held, ok := shards.Held[shard]
	return ok && held.Epoch == epoch && held.ValidFor(time.Now(), suspend.Total()) >= r.cfg.LeaseMargin
}

// boardVersion returns the version of the domain's placement on the blackboard.
func (r *Reconciler) boardVersion(domain string) object.Version {
	placements := r.board.Placements.Load()
	if placements == nil || placements.ByDomain[domain] == nil {
		return 0
	}
	return object.Version(placements.ByDomain[domain].Version)
}

func (r *Reconciler) logPlan(domain string, result *Result) {
	for _, reason := range result.Reasons {
		level.Info(r.logger).Log("msg", "placement changed", "domain", domain, "reason", reason)
	}
}
