package follow

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/object"
)

// ErrHistoryGone means that the store no longer has the changes since a cursor.
var ErrHistoryGone = errors.New("history of the store is gone")

// Event is one change.
type Event struct {
	Object  object.Object
	Deleted bool
}

// Delta are the changes up to a cursor.
type Delta struct {
	Cursor object.Version
	Events []Event
}

// Source is the store. Errors are object.ErrUnavailable or ErrHistoryGone.
type Source interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (object.Listing, error)
	// Changes waits until something changed after cursor, at most for wait.
	Changes(ctx context.Context, kind string, cursor object.Version, wait time.Duration) (Delta, error)
}

// Times of a Follower.
const (
	// retryDelay is the pause after a failed call.
	retryDelay = 250 * time.Millisecond
	// answerTime bounds the answer to a watch beside its wait. The store answers in
	// milliseconds, and in a quarter of a second when it is slow.
	answerTime = 450 * time.Millisecond
	// maxHistory is the number of deltas that followers of a copy may lag behind.
	maxHistory = 200
	// settleDelay gathers changes that follow each other closely into one call.
	settleDelay = 60 * time.Millisecond
)

// Snapshot is the copy at one moment.
type Snapshot struct {
	// Cursor is the store's revision that the copy stands for.
	Cursor object.Version
	// Objects are sorted by name.
	Objects []object.Object
}

// Config configures a Follower.
type Config struct {
	Kind string
	// Wait is the longest time that the store holds a watch back. A connection
	// that went silent is noticed after Wait and the timeout of a call.
	Wait time.Duration
}

// Follower keeps the copy of one kind.
type Follower struct {
	cfg    Config
	source Source
	logger log.Logger

	mu      sync.Mutex
	objects map[string]object.Object
	cursor  object.Version

	// history are the newest deltas, oldest first; the first one follows since.
	history []Delta
	since   object.Version

	// confirmed is the time of the newest answer of the store.
	confirmed time.Time
	lost      bool

	// Current is the newest snapshot; nil before the first one.
	Current blackboard.Section[Snapshot]
}

// New returns a follower of a kind.
func New(cfg Config, source Source, logger log.Logger) *Follower {
	return &Follower{cfg: cfg, source: source, objects: map[string]object.Object{},
		logger: log.With(logger, "component", "follow", "kind", cfg.Kind)}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		var changed bool
		var err error
		if listed {
			changed, err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		f.note(ctx, err)
		pause := settleDelay
		switch {
		case err == nil:
			listed = true
			if !changed {
				continue
			}
		case errors.Is(err, ErrHistoryGone):
			listed = false
			continue
		default:
			pause = retryDelay
		}
		wait.For(ctx, pause)
	}
	return nil
}

// note logs lost and regained contact.
func (f *Follower) note(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		f.confirmed = time.Now()
		if f.lost {
			level.Info(f.logger).Log("msg", "store reachable again", "cursor", f.cursor)
		}
		f.lost = false
		return
	}
	if !f.lost && ctx.Err() == nil {
		level.Warn(f.logger).Log("msg", "store not reachable", "cursor", f.cursor, "err", err)
		f.lost = true
	}
}

func (f *Follower) list(ctx context.Context) error {
	listing, err := f.source.List(ctx, f.cfg.Kind)
	if err != nil {
		return err
	}
	f.Adopt(Snapshot{listing.Cursor, listing.Objects})
	return nil
}

func (f *Follower) watch(ctx context.Context) (changed bool, err error) {
	f.mu.Lock()
	cursor := f.cursor
	f.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, f.cfg.Wait+answerTime)
	defer cancel()
	delta, err := f.source.Changes(limited, f.cfg.Kind, cursor, f.cfg.Wait)
	if err != nil {
		return false, err
	}
	return f.Apply(cursor, delta), nil
}

// Apply takes changes over that follow a cursor, and reports whether there were any. A
// copy that is newer by now stays.
func (f *Follower) Apply(cursor object.Version, delta Delta) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cursor != cursor {
		return false
	}
	for _, e := range delta.Events {
		if e.Deleted {
			delete(f.objects, e.Object.Key.Name)
		} else {
			f.objects[e.Object.Key.Name] = e.Object
		}
	}
	f.cursor = max(f.cursor, delta.Cursor)
	if len(delta.Events) > 0 {
		f.remember(delta)
		f.publish()
	}
	return len(delta.Events) > 0
}

// Adopt replaces the copy by a snapshot that is not older.
func (f *Follower) Adopt(s Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Cursor < f.cursor {
		return
	}
	f.cursor, f.history, f.since = s.Cursor, nil, s.Cursor
	f.objects = make(map[string]object.Object, len(s.Objects))
	for _, o := range s.Objects {
		f.objects[o.Key.Name] = o
	}
	f.publish()
}

// remember keeps a delta for followers of this copy; the caller holds the lock.
func (f *Follower) remember(d Delta) {
	f.history = append(f.history, d)
	if len(f.history) > maxHistory {
		f.since = f.history[0].Cursor
		f.history = f.history[1:]
	}
}

// Since returns the changes of the copy after a cursor. It waits for one, at most
// for wait, and returns ErrHistoryGone if they are not known.
func (f *Follower) Since(ctx context.Context, cursor object.Version, wait time.Duration) (Delta, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		changed := f.Current.Changed()
		delta, err := f.newer(cursor)
		if err != nil || len(delta.Events) > 0 {
			return delta, err
		}
		select {
		case <-changed:
		case <-end.C:
			return delta, nil
		case <-ctx.Done():
			return delta, ctx.Err()
		}
	}
}

// newer joins the remembered deltas after a cursor. One that holds older changes,
// too, does no harm: its last change of an object is the newest.
func (f *Follower) newer(cursor object.Version) (Delta, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cursor < f.since || f.Current.Load() == nil {
		return Delta{}, ErrHistoryGone
	}
	joined := Delta{Cursor: max(f.cursor, cursor)}
	for _, d := range f.history {
		if d.Cursor > cursor {
			joined.Events = append(joined.Events, d.Events...)
		}
	}
	return joined, nil
}

// publish shares the copy; the caller holds the lock.
func (f *Follower) publish() {
	objects := slices.SortedFunc(maps.Values(f.objects), func(a, b object.Object) int {
		return strings.Compare(a.Key.Name, b.Key.Name)
	})
	f.Current.Publish(&Snapshot{Cursor: f.cursor, Objects: objects})
}

// Cursor returns the store's revision that the copy stands for.
func (f *Follower) Cursor() object.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor
}

// Lost reports whether the newest call to the store failed.
func (f *Follower) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// SilentFor returns the time since the store's newest answer.
func (f *Follower) SilentFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return time.Hour
	}
	return time.Since(f.confirmed)
}
