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

// ErrHistoryGone is returned if the source no longer has the changes since a cursor, so
// that the objects must be listed again.
var ErrHistoryGone = errors.New("changes since the cursor are no longer available")

// Event is one change of an object.
type Event struct {
	Object  object.Object
	Deleted bool
}

// Delta is a series of changes up to a cursor.
type Delta struct {
	Cursor object.Version
	Events []Event
}

// Source is the store, or another copy of it. Its methods return object.ErrUnavailable or
// ErrHistoryGone.
type Source interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (object.Listing, error)
	// Changes returns the changes after cursor. It waits for one, at most for wait.
	Changes(ctx context.Context, kind string, cursor object.Version, wait time.Duration) (Delta, error)
}

// Parameters of a Follower.
const (
	// retryDelay is the delay after a failed call.
	retryDelay = 250 * time.Millisecond
	// watchSlack is added to the wait of a watch to get its timeout. The store responds
	// in milliseconds, and in a quarter of a second if it is slow.
	watchSlack = 450 * time.Millisecond
	// maxHistory is the number of deltas kept for followers of this copy that lag behind.
	maxHistory = 200
	// coalesceDelay is the delay after a change, so that further ones that follow closely
	// are received in one call.
	coalesceDelay = 60 * time.Millisecond
)

// Snapshot is the state of the copy at one moment.
type Snapshot struct {
	// Cursor is the revision of the store that the snapshot reflects.
	Cursor object.Version
	// Objects are sorted by name.
	Objects []object.Object
}

// Config configures a Follower.
type Config struct {
	Kind string
	// Wait is the longest time that the store may delay the response to a watch. A
	// dead connection is detected after Wait plus watchSlack.
	Wait time.Duration
}

// Follower keeps a copy of the objects of one kind.
type Follower struct {
	cfg    Config
	source Source
	logger log.Logger

	mu      sync.Mutex
	objects map[string]object.Object
	cursor  object.Version

	// history holds the latest deltas in order; the first one follows historyStart.
	history      []Delta
	historyStart object.Version

	// lastContact is when the store last responded.
	lastContact time.Time
	// disconnected is true if the last call to the store failed.
	disconnected bool

	// Current is the latest snapshot; nil before the first one.
	Current blackboard.Section[Snapshot]
}

// New returns a follower of the objects of a kind. Run starts it.
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
		started := time.Now()
		if listed {
			changed, err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		f.recordContact(ctx, err)
		pause := coalesceDelay
		switch {
		case err == nil:
			// The changes of a watch that returns early without any were ignored.
			ignored := listed && time.Since(started) < coalesceDelay
			listed = true
			if !changed && !ignored {
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

// recordContact records the result of a call to the store, and logs when the connection
// is lost or restored.
func (f *Follower) recordContact(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		f.lastContact = time.Now()
		if f.disconnected {
			level.Info(f.logger).Log("msg", "connection to the store restored", "cursor", f.cursor)
		}
		f.disconnected = false
		return
	}
	if !f.disconnected && ctx.Err() == nil {
		level.Warn(f.logger).Log("msg", "store unreachable; keeping the last copy", "cursor", f.cursor, "err", err)
		f.disconnected = true
	}
}

func (f *Follower) list(ctx context.Context) error {
	listing, err := f.source.List(ctx, f.cfg.Kind)
	if err != nil {
		return err
	}
	f.Replace(Snapshot{listing.Cursor, listing.Objects})
	return nil
}

func (f *Follower) watch(ctx context.Context) (changed bool, err error) {
	f.mu.Lock()
	cursor := f.cursor
	f.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, f.cfg.Wait+watchSlack)
	defer cancel()
	delta, err := f.source.Changes(limited, f.cfg.Kind, cursor, f.cfg.Wait)
	if err != nil {
		return false, err
	}
	return f.Apply(cursor, delta), nil
}

// Apply applies the changes after a cursor to the copy, and reports whether there were
// any. It does nothing if the copy is no longer at that cursor.
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
		f.appendHistory(delta)
		f.publish()
	}
	return len(delta.Events) > 0
}

// Replace replaces the copy with a snapshot, unless the snapshot is older.
func (f *Follower) Replace(s Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Cursor < f.cursor {
		return
	}
	f.cursor, f.history, f.historyStart = s.Cursor, nil, s.Cursor
	f.objects = make(map[string]object.Object, len(s.Objects))
	for _, o := range s.Objects {
		f.objects[o.Key.Name] = o
	}
	f.publish()
}

// appendHistory keeps a delta for followers of this copy. The caller holds the lock.
func (f *Follower) appendHistory(d Delta) {
	f.history = append(f.history, d)
	if len(f.history) > maxHistory {
		f.historyStart = f.history[0].Cursor
		f.history = f.history[1:]
	}
}

// Since returns the changes of the copy after a cursor. It waits for one, at most for
// wait. It returns ErrHistoryGone if the changes are no longer in the history.
func (f *Follower) Since(ctx context.Context, cursor object.Version, wait time.Duration) (Delta, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		changed := f.Current.Changed()
		delta, err := f.changesSince(cursor)
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

// changesSince merges the deltas in the history after a cursor. A delta that also has
// older changes does no harm: its last change of an object is the latest one.
func (f *Follower) changesSince(cursor object.Version) (Delta, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cursor < f.historyStart || f.Current.Load() == nil {
		return Delta{}, ErrHistoryGone
	}
	merged := Delta{Cursor: max(f.cursor, cursor)}
	for _, d := range f.history {
		if d.Cursor > cursor {
			merged.Events = append(merged.Events, d.Events...)
		}
	}
	return merged, nil
}

// publish publishes the copy as the current snapshot. The caller holds the lock.
func (f *Follower) publish() {
	objects := slices.SortedFunc(maps.Values(f.objects), func(a, b object.Object) int {
		return strings.Compare(a.Key.Name, b.Key.Name)
	})
	f.Current.Publish(&Snapshot{Cursor: f.cursor, Objects: objects})
}

// Cursor returns the revision of the store that the copy reflects.
func (f *Follower) Cursor() object.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor
}

// Disconnected reports whether the last call to the store failed.
func (f *Follower) Disconnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disconnected
}

// TimeSinceContact returns the time since the store last responded, or an hour if it
// never did.
func (f *Follower) TimeSinceContact() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastContact.IsZero() {
		return time.Hour
	}
	return time.Since(f.lastContact)
}
