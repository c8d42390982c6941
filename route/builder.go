package route

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// Defaults of Config.
const (
	// DefaultLifetime is the time for which evidence holds after its probe was
	// sent. With the time to send it keeps the 3 s bound on lost members.
	DefaultLifetime = 2500 * time.Millisecond
	// DefaultMinInterval bounds the work when many sections change at once.
	DefaultMinInterval = 10 * time.Millisecond
	// DefaultMaxInterval is the time between rebuilds without a change, which
	// keep the slowness of stragglers and the counts of sent tokens current.
	DefaultMaxInterval = 250 * time.Millisecond
	// maxSlowness bounds the weight of a straggler, so that it still gets the
	// few requests that show its recovery.
	maxSlowness = 8
	// stragglerRatio is the ratio to the median first-token time from which a
	// target counts as a straggler. Below it the difference comes from queues,
	// which the load contains already, and from the lengths of prompts.
	stragglerRatio = 2
	// occupiedShare is the weight of a token in the KV cache next to a queued
	// prompt token. It delays a new request less; the value is an estimate.
	occupiedShare = 0.25
)

// Config holds the durations of a Builder; 0 means the default.
type Config struct {
	Lifetime    time.Duration
	MinInterval time.Duration
	MaxInterval time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// withDefaults returns c with its zero fields set.
func (c Config) withDefaults() Config {
	c.Lifetime = cmp.Or(c.Lifetime, DefaultLifetime)
	c.MinInterval = cmp.Or(c.MinInterval, DefaultMinInterval)
	c.MaxInterval = cmp.Or(c.MaxInterval, DefaultMaxInterval)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Builder is the controller that owns the Table section.
type Builder struct {
	// Table is the newest table.
	Table blackboard.Section[Table]

	config   Config
	board    *blackboard.Board
	trackers map[string]*Tracker
	targets  metrics.Gauge
	builds   metrics.Counter
}

// NewBuilder returns a builder that reads board.
func NewBuilder(config Config, board *blackboard.Board, registry metrics.Registry) *Builder {
	config = config.withDefaults()
	return &Builder{
		config: config, board: board, trackers: make(map[string]*Tracker),
		targets: metrics.GetOrRegisterGauge("route.targets", registry),
		builds:  metrics.GetOrRegisterCounter("route.builds", registry),
	}
}

// Run rebuilds the table on changes until ctx ends.
func (b *Builder) Run(ctx context.Context) error {
	for {
		configuration, placements := b.board.Configuration.Changed(), b.board.Placements.Changed()
		instances, evidence := b.board.Instances.Changed(), b.board.Evidence.Changed()
		b.Build()
		if !wait.For(ctx, b.config.MinInterval) {
			return ctx.Err()
		}
		timer := time.NewTimer(b.config.MaxInterval)
		select {
		case <-ctx.Done():
		case <-configuration:
		case <-placements:
		case <-instances:
		case <-evidence:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// snapshot is what one build reads.
type snapshot struct {
	now       time.Time
	config    *fleet.Configuration
	instances map[string]*fleet.Instance
	evidence  map[string]blackboard.Observation
}

// Build publishes a table made of the board's newest sections. Only one
// goroutine may call it.
func (b *Builder) Build() {
	s := b.read()
	table := &Table{Services: make(map[string]*Service), proven: make(map[placed]time.Time)}
	if s.config != nil {
		for i := range s.config.Services {
			service := &s.config.Services[i]
			table.Services[service.Name] = &Service{Kind: service.Kind}
			if service.Kind == fleet.KindPlain {
				b.addServers(table, s, service)
			}
		}
		b.addGroups(table, s)
	}
	b.finish(table, s.now)
	b.Table.Publish(table)
	b.builds.Inc(1)
}

func (b *Builder) read() snapshot {
	s := snapshot{now: b.config.Now(), config: b.board.Configuration.Load()}
	s.instances = make(map[string]*fleet.Instance)
	if list := b.board.Instances.Load(); list != nil {
		for i := range list.Instances {
			s.instances[list.Instances[i].ID] = &list.Instances[i]
		}
	}
	if evidence := b.board.Evidence.Load(); evidence != nil {
		s.evidence = evidence.ByInstance
	}
	return s
}

// addServers adds the live servers of a plain service.
func (b *Builder) addServers(table *Table, s snapshot, service *fleet.Service) {
	for id, instance := range s.instances {
		if instance.Pool != service.Pool || instance.State != fleet.InstanceLive {
			continue
		}
		seen, found := s.evidence[id]
		if !found {
			table.Services[service.Name].Unproven = append(table.Services[service.Name].Unproven, id)
			continue
		}
		if seen.Report.State != fleet.EngineReady {
			continue
		}
		target := b.target(id, instance.Address, float64(seen.Report.Running), seen.ObservedAt, seen.ObservedAt)
		target.FailureDomain = instance.FailureDomain
		table.Services[service.Name].Targets = append(table.Services[service.Name].Targets, target)
	}
}

// addGroups adds the groups whose members all fill their ranks.
func (b *Builder) addGroups(table *Table, s snapshot) {
	placements := b.board.Placements.Load()
	if placements == nil {
		return
	}
	declared := make(map[string]string, len(s.config.Groups))
	for i := range s.config.Groups {
		declared[s.config.Groups[i].Name] = s.config.Groups[i].Service
	}
	for _, placement := range placements.ByDomain {
		for i := range placement.Placement.Groups {
			group := &placement.Placement.Groups[i]
			service := table.Services[group.Service]
			if len(group.Members) == 0 || service == nil || service.Kind != fleet.KindModel {
				continue
			}
			oldest, complete := prove(group, s.evidence)
			if complete {
				table.proven[placed{group.Name, group.Generation}] = oldest.Add(b.config.Lifetime)
			}
			if declared[group.Name] == group.Service && takesWork(group, s.instances) {
				b.addGroup(service, group, s, oldest, complete)
			}
		}
	}
}

func (b *Builder) addGroup(service *Service, group *fleet.PlacedGroup, s snapshot, oldest time.Time, complete bool) {
	if !complete {
		service.Unproven = append(service.Unproven, group.Name)
		return
	}
	first := group.Members[0]
	seen := s.evidence[first.Instance]
	target := b.target(group.Name, first.Address, float64(seen.Report.QueuedPromptTokens), seen.ObservedAt, oldest)
	target.Generation = group.Generation
	target.Version = group.Version
	target.Tracker.queued.Store(int64(seen.Report.QueuedPromptTokens))
	target.space = float64(seen.Report.FreeKVTokens)
	if instance := s.instances[first.Instance]; instance != nil {
		target.FailureDomain = instance.FailureDomain
	}
	service.Targets = append(service.Targets, target)
}

// prove returns the time of the oldest evidence of group, and whether every
// member's report fills its rank.
func prove(group *fleet.PlacedGroup, evidence map[string]blackboard.Observation) (time.Time, bool) {
	var oldest time.Time
	for rank, member := range group.Members {
		seen, found := evidence[member.Instance]
		if !found || !seen.Report.Fills(group, rank) {
			return time.Time{}, false
		}
		if rank == 0 || seen.ObservedAt.Before(oldest) {
			oldest = seen.ObservedAt
		}
	}
	return oldest, true
}

// takesWork reports whether the group's phase and the instance list allow new
// work. A member that is missing from the list, which lags, is not leaving.
func takesWork(group *fleet.PlacedGroup, instances map[string]*fleet.Instance) bool {
	if group.Phase != fleet.PhaseForming && group.Phase != fleet.PhaseServing {
		return false
	}
	for _, member := range group.Members {
		if instance := instances[member.Instance]; instance != nil && instance.State == fleet.InstanceLeaving {
			return false
		}
	}
	return true
}

func (b *Builder) target(name, address string, load float64, reported, oldest time.Time) *Target {
	tracker := b.trackers[name]
	if tracker == nil {
		tracker = &Tracker{}
		b.trackers[name] = tracker
	}
	return &Target{Name: name, Address: address, Reported: load, Observed: oldest,
		Expires: oldest.Add(b.config.Lifetime), Tracker: tracker, base: tracker.sentBy(reported),
		seed: xxhash.Sum64String(name)}
}

// finish orders the targets, weighs stragglers and forgets unused trackers.
func (b *Builder) finish(table *Table, now time.Time) {
	used := make(map[string]bool)
	for _, service := range table.Services {
		slices.SortFunc(service.Targets, func(x, y *Target) int {
			if x.Name < y.Name {
				return -1
			}
			return 1
		})
		addOccupied(service.Targets)
		weigh(service.Targets)
		for _, target := range service.Targets {
			used[target.Name] = true
			target.Tracker.mark(now)
		}
	}
	for name, tracker := range b.trackers {
		// A target that is away for a moment keeps its tracker.
		if n := len(tracker.marks); !used[name] && (n == 0 || now.Sub(tracker.marks[n-1].at) > time.Minute) {
			delete(b.trackers, name)
		}
	}
	b.targets.Update(int64(len(used)))
}

// addOccupied adds the output space in use to each reported load. Engines report
// free space only; the one with the most counts as empty.
func addOccupied(targets []*Target) {
	var most float64
	for _, t := range targets {
		most = max(most, t.space)
	}
	for _, t := range targets {
		t.Reported += occupiedShare * (most - t.space)
	}
}

// weigh sets each target's slowness relative to the median first-token time.
func weigh(targets []*Target) {
	latencies := make([]float64, 0, len(targets))
	for _, t := range targets {
		if l := t.Tracker.Latency(); l > 0 {
			latencies = append(latencies, l)
		}
	}
	slices.Sort(latencies)
	for _, t := range targets {
		t.slowness = 1
		if n := len(latencies); n > 0 {
			if ratio := t.Tracker.Latency() / latencies[(n-1)/2]; ratio >= stragglerRatio {
				t.slowness = min(ratio, maxSlowness)
			}
		}
	}
}
