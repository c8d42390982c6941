package measure

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/object"
)

// countingStore wraps a Store and counts the calls through it and the bytes written.
type countingStore struct {
	object.Store
	writes, reads, watches, bytes atomic.Int64
	// watchTime is the total duration of the watches that have ended, in nanoseconds.
	watchTime atomic.Int64
}

// addWatchTime adds the time since the start of a watch.
func (s *countingStore) addWatchTime(since time.Time) { s.watchTime.Add(int64(time.Since(since))) }

// Get implements object.Store.
func (s *countingStore) Get(ctx context.Context, key object.Key) (object.Object, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, key)
}

// GetIfNewer implements object.Store.
func (s *countingStore) GetIfNewer(ctx context.Context, key object.Key, known object.Version) (object.Object, bool, error) {
	s.reads.Add(1)
	return s.Store.GetIfNewer(ctx, key, known)
}

// List implements object.Store.
func (s *countingStore) List(ctx context.Context, kind string) ([]object.Object, error) {
	s.reads.Add(1)
	return s.Store.List(ctx, kind)
}

// Update implements object.Store.
func (s *countingStore) Update(ctx context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error) {
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	return s.Store.Update(ctx, key, expected, value)
}

// Delete implements object.Store.
func (s *countingStore) Delete(ctx context.Context, key object.Key, expected object.Version) error {
	s.writes.Add(1)
	return s.Store.Delete(ctx, key, expected)
}

// Watch implements object.Store.
func (s *countingStore) Watch(ctx context.Context, key object.Key, known object.Version, wait time.Duration) (object.Object, bool, error) {
	s.watches.Add(1)
	defer s.addWatchTime(time.Now())
	return s.Store.Watch(ctx, key, known, wait)
}

// WatchKind implements object.Store.
func (s *countingStore) WatchKind(ctx context.Context, kind string, cursor object.Version, wait time.Duration) (object.Listing, error) {
	if wait > 0 {
		s.watches.Add(1)
		defer s.addWatchTime(time.Now())
	} else {
		s.reads.Add(1)
	}
	return s.Store.WatchKind(ctx, kind, cursor, wait)
}

// countingInstances counts the calls to the instance list in store's counters.
type countingInstances struct {
	*staticInstances
	store *countingStore
}

// Instances implements replica.InstanceSource.
func (c countingInstances) Instances(ctx context.Context, after uint64, wait time.Duration) (fleet.InstanceList, bool, error) {
	if wait > 0 {
		c.store.watches.Add(1)
		defer c.store.addWatchTime(time.Now())
	} else {
		c.store.reads.Add(1)
	}
	return c.staticInstances.Instances(ctx, after, wait)
}
