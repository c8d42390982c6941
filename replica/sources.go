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
	DefaultPollInterval = 4 * time.Second
	DefaultReadTimeout  = 2 * time.Second
	DefaultWatchWait    = 10 * time.Second
	DefaultBackoffMin   = 100 * time.Millisecond
	DefaultBackoffMax   = 4 * time.Second
)

// InstanceSource is the platform's instance list.
type InstanceSource interface {
	// Instances waits until the list is newer than after or wait has passed;
	// ok=false means that nothing changed.
	Instances(ctx context.Context, after uint64, wait time.Duration) (list fleet.InstanceList, ok bool, err error)
}

// SourcesConfig describes Sources. Zero durations mean the defaults.
type SourcesConfig struct {
	// Self is this node's name.
	Self string
	// PollInterval is the time between reads on every node; 4 s by default.
	PollInterval time.Duration
	// ReadTimeout limits a read, and a watch beyond its wait; 2 s by default.
	ReadTimeout time.Duration
	// WatchWait is how long the platform holds a watch; 10 s by default.
	WatchWait time.Duration
	// BackoffMin and BackoffMax bound the wait after a failed call; 100 ms and
	// 4 s by default.
	BackoffMin, BackoffMax time.Duration
	// Policy chooses the watching nodes; RankedWatchers by default.
	Policy WatchPolicy
}

// withDefaults returns c with its zero fields set.
func (c SourcesConfig) withDefaults() SourcesConfig {
	c.PollInterval = cmp.Or(c.PollInterval, DefaultPollInterval)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.WatchWait = cmp.Or(c.WatchWait, DefaultWatchWait)
	c.BackoffMin = cmp.Or(c.BackoffMin, DefaultBackoffMin)
	c.BackoffMax = cmp.Or(c.BackoffMax, DefaultBackoffMax)
	c.Policy = cmp.Or[WatchPolicy](c.Policy, RankedWatchers{})
	return c
}

// Sources reads documents at the platform.
type Sources struct {
	config    SourcesConfig
	store     object.Store
	instances InstanceSource
	documents *Documents
	confirmer *Confirmer
	board     *blackboard.Board
	logger    log.Logger

	mu sync.Mutex
	// shown is the newest configuration object seen, with its revision.
	shown shownConfiguration
	// placements is the cursor of the placement kind.
	placements object.Version
}

// shownConfiguration relates an object version to the revision in it.
type shownConfiguration struct {
	version  object.Version
	revision fleet.Revision
}

// NewSources returns Sources that publish to documents and confirmer.
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
	poll := func(call func(context.Context, time.Duration) error, always bool) func() error {
		return func() error { s.pollLoop(ctx, call, always); return nil }
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

// watching reports whether this node holds watches now.
func (s *Sources) watching() bool {
	members := s.board.Members.Load()
	return members == nil || s.config.Policy.Watches(s.config.Self, members.Serving())
}

// watchLoop repeats a long poll while this node is a watching node.
func (s *Sources) watchLoop(ctx context.Context, call func(context.Context, time.Duration) error) {
	failures := 0
	for ctx.Err() == nil {
		if !s.watching() {
			wait.For(ctx, s.config.PollInterval/4)
			continue
		}
		failures = s.outcome(ctx, call(ctx, s.config.WatchWait), failures)
		if failures > 0 {
			wait.For(ctx, s.backoff(failures))
		}
	}
}

// pollLoop repeats a read, unless always is false and this node watches. The
// first read of the configuration is immediate; the others start at a random
// phase, which spreads the nodes' reads over the interval.
func (s *Sources) pollLoop(ctx context.Context, call func(context.Context, time.Duration) error, always bool) {
	failures := 0
	if !always {
		wait.For(ctx, rand.N(s.config.PollInterval))
	}
	for ctx.Err() == nil {
		pause := s.config.PollInterval*3/4 + rand.N(s.config.PollInterval/4)
		if always || !s.watching() {
			failures = s.outcome(ctx, call(ctx, 0), failures)
			if failures > 0 {
				pause = s.backoff(failures)
			}
		}
		wait.For(ctx, pause)
	}
}

// outcome counts failures in a row and logs the first one.
func (s *Sources) outcome(ctx context.Context, err error, failures int) int {
	if err == nil || ctx.Err() != nil {
		return 0
	}
	if failures == 0 {
		_ = level.Warn(s.logger).Log("msg", "platform read failed", "err", err)
	}
	return failures + 1
}

// backoff returns an exponential wait with full jitter above the minimum.
func (s *Sources) backoff(failures int) time.Duration {
	limit := min(s.config.BackoffMax, s.config.BackoffMin<<min(failures, 16))
	return s.config.BackoffMin + rand.N(limit)
}

// readConfiguration reads the configuration; hold > 0 makes it a watch.
func (s *Sources) readConfiguration(ctx context.Context, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.ReadTimeout+hold)
	defer cancel()
	s.mu.Lock()
	known := s.shown
	s.mu.Unlock()
	held, _ := s.documents.Revision()
	sentAt := time.Now()
	var found object.Object
	var changed bool
	var err error
	if hold > 0 {
		found, changed, err = s.store.Watch(ctx, ConfigurationKey, known.version, hold)
	} else {
		found, changed, err = s.store.GetIfNewer(ctx, ConfigurationKey, known.version)
	}
	shown := known
	switch {
	case errors.Is(err, object.ErrNotFound), err == nil && changed && found.Version == 0,
		err == nil && !changed && known.version == 0:
		shown = shownConfiguration{}
		s.documents.PublishEmpty()
	case err != nil:
		return err
	case changed:
		if shown, err = s.publishConfiguration(found); err != nil {
			return err
		}
	}
	s.setShown(shown)
	s.confirmer.Read(PlatformRead{Shown: shown.revision, HeldBefore: held, SentAt: sentAt})
	if errors.Is(err, object.ErrNotFound) && hold > 0 {
		// A store that does not hold watches of missing objects is asked at the
		// poll interval instead.
		wait.For(ctx, s.config.PollInterval/4)
	}
	return nil
}

// setShown remembers what the platform shows.
func (s *Sources) setShown(shown shownConfiguration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shown = shown
}

// publishConfiguration takes in a configuration object.
func (s *Sources) publishConfiguration(found object.Object) (shownConfiguration, error) {
	var head struct {
		Revision fleet.Revision `json:"revision"`
	}
	if err := json.Unmarshal(found.Value, &head); err != nil {
		return shownConfiguration{}, &object.OpError{Op: "decode", Key: found.Key, Err: err}
	}
	_, err := s.documents.Publish(ConfigurationName, uint64(head.Revision), found.Value)
	return shownConfiguration{version: found.Version, revision: head.Revision}, err
}

// readPlacements reads all placements; hold > 0 makes it a watch.
func (s *Sources) readPlacements(ctx context.Context, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.ReadTimeout+hold)
	defer cancel()
	s.mu.Lock()
	cursor := s.placements
	s.mu.Unlock()
	listing, err := s.store.WatchKind(ctx, PlacementKind, cursor, hold)
	if err != nil || !listing.Changed {
		return err
	}
	for _, found := range listing.Objects {
		if _, err := s.documents.Publish(PlacementName(found.Key.Name), uint64(found.Version), found.Value); err != nil {
			// One unreadable placement must not hide the others.
			_ = level.Error(s.logger).Log("msg", "placement refused", "err", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placements = listing.Cursor
	return nil
}

// readInstances reads the instance list; hold > 0 makes it a long poll.
func (s *Sources) readInstances(ctx context.Context, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.ReadTimeout+hold)
	defer cancel()
	var after uint64
	if list := s.board.Instances.Load(); list != nil {
		after = list.Version
	}
	list, changed, err := s.instances.Instances(ctx, after, hold)
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
