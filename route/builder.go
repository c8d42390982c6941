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
	// DefaultLifetime is the time for which evidence is valid after its probe was
	// sent. Together with the time to send a request it keeps the limit of 3 s
	// after which a lost member gets no new work.
	DefaultLifetime = 2500 * time.Millisecond
	// DefaultMinInterval is the shortest time between two builds. It limits the
	// work when many sections change at once.
	DefaultMinInterval = 10 * time.Millisecond
	// DefaultMaxInterval is the longest time between two builds. Builds without
	// a change keep the slowness of stragglers and the counts of sent tokens
	// current.
	DefaultMaxInterval = 250 * time.Millisecond
	// maxSlowness limits the slowness of a straggler, so that it still gets the
	// few requests that are needed to detect its recovery.
	maxSlowness = 8
	// stragglerRatio is the ratio to the median time to first token from which a
	// target counts as a straggler. Smaller differences come from queues, which
	// the load already includes, and from the lengths of prompts.
	stragglerRatio = 2
	// kvTokenWeight is the weight of a token in the KV cache relative to a queued
	// prompt token. It delays a new request less; the value is an estimate.
	kvTokenWeight = 0.25
)

// Config configures a Builder. Zero fields take the defaults.
type Config struct {
	// Lifetime is the time for which evidence is valid.
	Lifetime time.Duration
	// MinInterval is the shortest time between two builds.
	MinInterval time.Duration
	// MaxInterval is the longest time between two builds.
	MaxInterval time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// withDefaults returns c with its zero fields set to the defaults.
func (c Config) withDefaults() Config {
	c.Lifetime = cmp.Or(c.Lifetime, DefaultLifetime)
	c.MinInterval = cmp.Or(c.MinInterval, DefaultMinInterval)
	c.MaxInterval = cmp.Or(c.MaxInterval, DefaultMaxInterval)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Builder builds the routing table from the blackboard and publishes it. It is
// the only writer of Table.
type Builder struct {
	// Table holds the newest table.
	Table blackboard.Section[Table]

	config Config
	board  *blackboard.Board
	// trackers holds the trackers by target name; they outlive a table.
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

// Run rebuilds the table on changes until ctx ends and returns ctx.Err().
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

// snapshot is the input of one build.
type snapshot struct {
	now       time.Time
	config    *fleet.Configuration
	instances map[string]*fleet.Instance
	evidence  map[string]blackboard.Observation
}

// Build publishes a table built from the blackboard's newest sections. Only one
// goroutine may call it.
func (b *Builder) Build() {
	s := b.read()
	table := &Table{Services: make(map[string]*Service), completeUntil: make(map[groupKey]time.Time)}
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
		observation, found := s.evidence[id]
		if !found {
			table.Services[service.Name].WithoutEvidence = append(table.Services[service.Name].WithoutEvidence, id)
			continue
		}
		if observation.Report.State != fleet.EngineReady {
			continue
		}
		target := b.newTarget(id, instance.Address, float64(observation.Report.Running), observation.ObservedAt, observation.ObservedAt)
		target.FailureDomain = instance.FailureDomain
		table.Services[service.Name].Targets = append(table.Services[service.Name].Targets, target)
	}
}

// addGroups adds the groups whose members have all reported that they are ready
// in their roles. A group outlives the configuration of its service until its streams have
// ended.
func (b *Builder) addGroups(table *Table, s snapshot) {
	placements := b.board.Placements.Load()
	if placements == nil {
		return
	}
	configured := make(map[string]string, len(s.config.Groups))
	for i := range s.config.Groups {
		configured[s.config.Groups[i].Name] = s.config.Groups[i].Service
	}
	for _, placement := range placements.ByDomain {
		for i := range placement.Placement.Groups {
			group := &placement.Placement.Groups[i]
			if len(group.Members) == 0 {
				continue
			}
			oldest, complete := oldestEvidence(group, s.evidence)
			if complete {
				table.completeUntil[groupKey{group.Name, group.Generation}] = oldest.Add(b.config.Lifetime)
			}
			service := table.Services[group.Service]
			if service == nil || service.Kind != fleet.KindModel {
				continue
			}
			if configured[group.Name] == group.Service && acceptsWork(group, s.instances) {
				b.addGroup(service, group, s, oldest, complete)
			}
		}
	}
}

// addGroup adds a group to its service's targets, or to WithoutEvidence if it is
// not complete. Its load and address are those of rank 0.
func (b *Builder) addGroup(service *Service, group *fleet.PlacedGroup, s snapshot, oldest time.Time, complete bool) {
	if !complete {
		service.WithoutEvidence = append(service.WithoutEvidence, group.Name)
		return
	}
	first := group.Members[0]
	observation := s.evidence[first.Instance]
	target := b.newTarget(group.Name, first.Address, float64(observation.Report.QueuedPromptTokens), observation.ObservedAt, oldest)
	target.Generation = group.Generation
	target.Version = group.Version
	target.Tracker.queuedTokens.Store(int64(observation.Report.QueuedPromptTokens))
	target.freeKVTokens = float64(observation.Report.FreeKVTokens)
	if instance := s.instances[first.Instance]; instance != nil {
		target.FailureDomain = instance.FailureDomain
	}
	service.Targets = append(service.Targets, target)
}

// oldestEvidence returns the time of the group's oldest evidence, and whether
// every member has reported that it is ready in its role.
func oldestEvidence(group *fleet.PlacedGroup, evidence map[string]blackboard.Observation) (time.Time, bool) {
	var oldest time.Time
	for rank, member := range group.Members {
		observation, found := evidence[member.Instance]
		if !found || !observation.Report.Fills(group, rank) {
			return time.Time{}, false
		}
		if rank == 0 || observation.ObservedAt.Before(oldest) {
			oldest = observation.ObservedAt
		}
	}
	return oldest, true
}

// acceptsWork reports whether the group's phase and the instance list allow new
// work. A member that is missing from the list doesn't count as leaving, because
// the list lags.
func acceptsWork(group *fleet.PlacedGroup, instances map[string]*fleet.Instance) bool {
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

// newTarget returns a target with the tracker of its name. The load was reported
// at reportedAt; oldest is the time of the oldest evidence.
func (b *Builder) newTarget(name, address string, load float64, reportedAt, oldest time.Time) *Target {
	tracker := b.trackers[name]
	if tracker == nil {
		tracker = &Tracker{}
		b.trackers[name] = tracker
	}
	return &Target{Name: name, Address: address, ReportedLoad: load, Observed: oldest,
		Expires: oldest.Add(b.config.Lifetime), Tracker: tracker, sentAtReport: tracker.sentUntil(reportedAt),
		hash: xxhash.Sum64String(name)}
}

// finish sorts the targets, sets their slowness and deletes trackers that have
// not been used for a minute.
func (b *Builder) finish(table *Table, now time.Time) {
	used := make(map[string]bool)
	for _, service := range table.Services {
		slices.SortFunc(service.Targets, func(x, y *Target) int {
			if x.Name < y.Name {
				return -1
			}
			return 1
		})
		addOccupiedKV(service.Targets)
		setSlowness(service.Targets)
		for _, target := range service.Targets {
			used[target.Name] = true
			target.Tracker.recordSample(now)
		}
	}
	for name, tracker := range b.trackers {
		// A target that is missing for a short time keeps its tracker.
		if n := len(tracker.samples); !used[name] && (n == 0 || now.Sub(tracker.samples[n-1].at) > time.Minute) {
			delete(b.trackers, name)
		}
	}
	b.targets.Update(int64(len(used)))
}

// addOccupiedKV adds the KV cache in use to each reported load. Engines report
// only free space, so the target with the most free space counts as empty.
func addOccupiedKV(targets []*Target) {
	var most float64
	for _, t := range targets {
		most = max(most, t.freeKVTokens)
	}
	for _, t := range targets {
		t.ReportedLoad += kvTokenWeight * (most - t.freeKVTokens)
	}
}

// setSlowness sets each target's slowness relative to the median time to first
// token.
func setSlowness(targets []*Target) {
	latencies := make([]float64, 0, len(targets))
	for _, t := range targets {
		if l := t.Tracker.FirstTokenSeconds(); l > 0 {
			latencies = append(latencies, l)
		}
	}
	slices.Sort(latencies)
	for _, t := range targets {
		t.slowness = 1
		if n := len(latencies); n > 0 {
			if ratio := t.Tracker.FirstTokenSeconds() / latencies[(n-1)/2]; ratio >= stragglerRatio {
				t.slowness = min(ratio, maxSlowness)
			}
		}
	}
}
