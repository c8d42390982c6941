package replica

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/object"
)

// Defaults of SourcesConfig.
const (
	// DefaultPollInterval is the time between reads.
	DefaultPollInterval = 4 * time.Second
	// DefaultReadTimeout is the timeout of a read.
	DefaultReadTimeout = 2 * time.Second
	// DefaultWatchWait is the time for which the platform holds a watch open.
	DefaultWatchWait = 10 * time.Second
	// DefaultBackoffMin is the shortest wait after a failed call.
	DefaultBackoffMin = 100 * time.Millisecond
	// DefaultBackoffMax is the upper bound of the random time that is added to
	// DefaultBackoffMin.
	DefaultBackoffMax = 4 * time.Second
)

// InstanceSource provides the platform's instance list.
type InstanceSource interface {
	// Instances waits until the version of the list is greater than after, or until
	// wait has passed; ok is false if nothing changed.
	Instances(ctx context.Context, after uint64, wait time.Duration) (list fleet.InstanceList, ok bool, err error)
}

// SourcesConfig configures Sources. Zero durations mean the defaults.
type SourcesConfig struct {
	// Self is this node's name.
	Self string
	// PollInterval is the time between reads on every node; 4 s by default.
	PollInterval time.Duration
	// ReadTimeout is the timeout of a read, and of a watch in addition to its wait; 2 s
	// by default.
	ReadTimeout time.Duration
	// WatchWait is how long the platform holds a watch open; 10 s by default.
	WatchWait time.Duration
	// BackoffMin is the shortest wait after a failed call; 100 ms by default.
	// BackoffMax is the upper bound of the random time that is added to it; 4 s by
	// default.
	BackoffMin, BackoffMax time.Duration
	// Policy selects the watching nodes; RankedWatchers by default.
	Policy WatchPolicy
}

// withDefaults returns a copy of c in which zero fields have their defaults.
func (c SourcesConfig) withDefaults() SourcesConfig {
	c.PollInterval = cmp.Or(c.PollInterval, DefaultPollInterval)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.WatchWait = cmp.Or(c.WatchWait, DefaultWatchWait)
	c.BackoffMin = cmp.Or(c.BackoffMin, DefaultBackoffMin)
	c.BackoffMax = cmp.Or(c.BackoffMax, DefaultBackoffMax)
	c.Policy = cmp.Or[WatchPolicy](c.Policy, RankedWatchers{})
	return c
}

// Sources reads documents from the platform by watches and polls.
type Sources struct {
	config    SourcesConfig
	store     object.Store
	instances InstanceSource
	documents *Documents
	confirmer *Confirmer
	board     *blackboard.Board
	logger    log.Logger

	mu sync.Mutex
	// platformConfiguration is the state of the configuration object in the last read.
	platformConfiguration configurationState
	// placementCursor is the cursor from which the next read of the placements continues.
	placementCursor object.Version
}

// configurationState is the version of the configuration object with the revision that
// it contains.
type configurationState struct {
	version  object.Version
	revision fleet.Revision
}

// NewSources returns Sources that publish documents to documents and report reads of
// the configuration to confirmer.
func NewSources(config SourcesConfig, store object.Store, instances InstanceSource,
	documents *Documents, confirmer *Confirmer, board *blackboard.Board, logger log.Logger,
) *Sources {
	return &Sources{
		config: config.withDefaults(), store: store, instances: instances,
		documents: documents, confirmer: confirmer, board: board, logger: logger,
	}
}

// Run watches and polls until ctx ends.
func (s *Sources) Run(ctx context.Context) error {
	watch := func(call func(context.Context, time.Duration) error) func() error {
		return func() error { s.watchLoop(ctx, call); return nil }
	}
	poll := func(call func(context.Context, time.Duration) error, evenIfWatcher bool) func() error {
		return func() error { s.pollLoop(ctx, call, evenIfWatcher); return nil }
	}
	var group errgroup.Group
	group.Go(watch(s.readConfiguration))
	group.Go(watch(s.readPlacements))
	group.Go(watch(s.readInstances))
	group.Go(poll(s.readConfiguration, true))
	group.Go(poll(s.readPlacements, false))
	group.Go(poll(s.readInstances, false))
	return group.Wait()
}

// isWatcher reports whether this node currently holds watches.
func (s *Sources) isWatcher() bool {
	members := s.board.Members.Load()
	return members == nil || s.config.Policy.Watches(s.config.Self, members.Serving())
}

// watchLoop repeats a long poll until ctx ends, as long as this node is a watcher.
func (s *Sources) watchLoop(ctx context.Context, call func(context.Context, time.Duration) error) {
	failures := 0
	for ctx.Err() == nil {
		if !s.isWatcher() {
			wait.For(ctx, s.config.PollInterval/4)
			continue
		}
		failures = s.countFailures(ctx, call(ctx, s.config.WatchWait), failures)
		if failures > 0 {
			wait.For(ctx, s.backoff(failures))
		}
	}
}

// pollLoop repeats a read until ctx ends. If evenIfWatcher is false, reads are skipped
// as long as this node is a watcher. If it is true, the first read is immediate;
// otherwise it starts after a random delay within the interval, which spreads the reads
// of the nodes over the interval.
func (s *Sources) pollLoop(ctx context.Context, call func(context.Context, time.Duration) error, evenIfWatcher bool) {
	failures := 0
	if !evenIfWatcher {
		wait.For(ctx, rand.N(s.config.PollInterval))
	}
	for ctx.Err() == nil {
		pause := s.config.PollInterval*3/4 + rand.N(s.config.PollInterval/4)
		if evenIfWatcher || !s.isWatcher() {
			failures = s.countFailures(ctx, call(ctx, 0), failures)
			if failures > 0 {
				pause = s.backoff(failures)
			}
		}
		wait.For(ctx, pause)
	}
}

// countFailures returns the new number of consecutive failures and logs the first one.
func (s *Sources) countFailures(ctx context.Context, err error, failures int) int {
	if err == nil || ctx.Err() != nil {
		return 0
	}
	if failures == 0 {
		_ = level.Warn(s.logger).Log("msg", "read from platform failed; retrying with backoff", "err", err)
	}
	return failures + 1
}

// backoff returns the wait after a number of consecutive failures: the minimum plus an
// exponential backoff with full jitter.
func (s *Sources) backoff(failures int) time.Duration {
	limit := min(s.config.BackoffMax, s.config.BackoffMin<<min(failures, 16))
	return s.config.BackoffMin + rand.N(limit)
}

// readConfiguration reads the configuration, with a watch if watchWait > 0.
func (s *Sources) readConfiguration(ctx context.Context, watchWait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.ReadTimeout+watchWait)
	defer cancel()
	s.mu.Lock()
	known := s.platformConfiguration
	s.mu.Unlock()
	localRevision, _ := s.documents.Revision()
	sentAt := time.Now()
	var found object.Object
	var changed bool
	var err error
	if watchWait > 0 {
		found, changed, err = s.store.Watch(ctx, ConfigurationKey, known.version, watchWait)
	} else {
		found, changed, err = s.store.GetIfNewer(ctx, ConfigurationKey, known.version)
	}
	current := known
	switch {
	case errors.Is(err, object.ErrNotFound), err == nil && changed && found.Version == 0,
		err == nil && !changed && known.version == 0:
		current = configurationState{}
		s.documents.PublishEmpty()
	case err != nil:
		return err
	case changed:
		if current, err = s.publishConfiguration(found); err != nil {
			return err
		}
	}
	s.setPlatformConfiguration(current)
	s.confirmer.ObserveRead(PlatformRead{PlatformRevision: current.revision, LocalRevision: localRevision, SentAt: sentAt})
	if errors.Is(err, object.ErrNotFound) && watchWait > 0 {
		// A store that does not hold watches of missing objects open is polled instead,
		// every quarter of the poll interval.
		wait.For(ctx, s.config.PollInterval/4)
	}
	return nil
}

// setPlatformConfiguration stores the state of the configuration object in the last
// read.
func (s *Sources) setPlatformConfiguration(current configurationState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformConfiguration = current
}

// publishConfiguration publishes a configuration object and returns its state.
func (s *Sources) publishConfiguration(found object.Object) (configurationState, error) {
	var head struct {
		Revision fleet.Revision `json:"revision"`
	}
	if err := json.Unmarshal(found.Value, &head); err != nil {
		return configurationState{}, &object.OpError{Op: "decode", Key: found.Key, Err: err}
	}
	_, err := s.documents.Publish(ConfigurationName, uint64(head.Revision), found.Value)
	return configurationState{version: found.Version, revision: head.Revision}, err
}

// readPlacements reads all placements, with a watch if watchWait > 0.
func (s *Sources) readPlacements(ctx context.Context, watchWait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.ReadTimeout+watchWait)
	defer cancel()
	s.mu.Lock()
	cursor := s.placementCursor
	s.mu.Unlock()
	listing, err := s.store.WatchKind(ctx, PlacementKind, cursor, watchWait)
	if err != nil || !listing.Changed {
		return err
	}
	for _, found := range listing.Objects {
		if _, err := s.documents.Publish(PlacementName(found.Key.Name), uint64(found.Version), found.Value); err != nil {
			// An invalid placement must not prevent the others from being published.
			_ = level.Error(s.logger).Log("msg", "invalid placement from platform ignored", "err", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placementCursor = listing.Cursor
	return nil
}

// readInstances reads the instance list, with a long poll if watchWait > 0.
func (s *Sources) readInstances(ctx context.Context, watchWait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.ReadTimeout+watchWait)
	defer cancel()
	var after uint64
	if list := s.board.Instances.Load(); list != nil {
		after = list.Version
	}
	list, changed, err := s.instances.Instances(ctx, after, watchWait)
	if err != nil || !changed {
		return err
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	_, err = s.documents.Publish(InstancesName, list.Version, body)
	return err
}
