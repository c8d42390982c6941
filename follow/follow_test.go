package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/object"
)

// fakeStore is a store whose content the test changes.
type fakeStore struct {
	mu          sync.Mutex
	objects     map[string]object.Object
	cursor      object.Version
	history     []follow.Event
	compactedTo object.Version
	down        bool
	lists       int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]object.Object{}} }

func (s *fakeStore) put(name string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursor++
	o := object.Object{Key: object.Key{Kind: "k", Name: name}, Version: s.cursor}
	s.objects[name] = o
	if deleted {
		delete(s.objects, name)
	}
	s.history = append(s.history, follow.Event{Object: o, Deleted: deleted})
}

func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedTo = nil, s.cursor
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) List(context.Context, string) (object.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return object.Listing{}, object.ErrUnavailable
	}
	s.lists++
	listing := object.Listing{Cursor: s.cursor, Changed: true}
	for _, o := range s.objects {
		listing.Objects = append(listing.Objects, o)
	}
	return listing, nil
}

func (s *fakeStore) Changes(_ context.Context, _ string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	for range 20 {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return follow.Delta{}, object.ErrUnavailable
		}
		if cursor < s.compactedTo {
			s.mu.Unlock()
			return follow.Delta{}, follow.ErrHistoryGone
		}
		if cursor < s.cursor {
			delta := follow.Delta{Cursor: s.cursor, Events: s.history[cursor-s.compactedTo:]}
			s.mu.Unlock()
			return delta, nil
		}
		s.mu.Unlock()
		time.Sleep(wait / 20)
	}
	return follow.Delta{Cursor: cursor}, nil
}

func objectNames(f *follow.Follower) []string {
	var all []string
	if s := f.Current.Load(); s != nil {
		for _, o := range s.Objects {
			all = append(all, o.Key.Name)
		}
	}
	return all
}

// Guards against missed changes: after a deletion, after an outage, and after the
// store has compacted the changes that a watch needs.
func TestFollowsThroughOutageAndCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFakeStore()
		s.put("a", false)
		f := follow.New(follow.Config{Kind: "k", Wait: time.Second}, s, log.NewNopLogger())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = f.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		g.Expect(objectNames(f)).To(Equal([]string{"a"}))
		s.put("b", false)
		s.put("a", true)
		time.Sleep(time.Second)
		g.Expect(objectNames(f)).To(Equal([]string{"b"}))
		s.setDown(true)
		time.Sleep(2 * time.Second)
		g.Expect(f.TimeSinceContact()).To(BeNumerically(">", time.Second))
		s.put("c", false)
		s.compact()
		s.setDown(false)
		time.Sleep(2 * time.Second)
		g.Expect(objectNames(f)).To(Equal([]string{"b", "c"}))
		g.Expect(s.lists).To(Equal(2))
		cancel()
		<-done
	})
}

// Guards against an older copy from another node that replaces a newer one.
func TestReplacesOnlyOlderCopies(t *testing.T) {
	g := NewWithT(t)
	f := follow.New(follow.Config{Kind: "k"}, newFakeStore(), log.NewNopLogger())
	one := object.Object{Key: object.Key{Kind: "k", Name: "one"}}
	two := object.Object{Key: object.Key{Kind: "k", Name: "two"}}
	f.Replace(follow.Snapshot{Cursor: 5, Objects: []object.Object{two, one}})
	g.Expect(objectNames(f)).To(Equal([]string{"one", "two"}))
	f.Replace(follow.Snapshot{Cursor: 4})
	g.Expect(objectNames(f)).To(Equal([]string{"one", "two"}))
	g.Expect(f.Cursor()).To(Equal(object.Version(5)))
}

// Guards against a copy of another follower's copy that misses changes or applies old
// ones again.
func TestFollowersOfACopySeeAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newFakeStore()
		s.put("a", false)
		first := follow.New(follow.Config{Kind: "k", Wait: time.Second}, s, log.NewNopLogger())
		_, err := first.Since(context.Background(), 0, time.Second)
		g.Expect(err).To(MatchError(follow.ErrHistoryGone))
		second := follow.New(follow.Config{Kind: "k", Wait: time.Second}, followerSource{first}, log.NewNopLogger())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{}, 2)
		for _, f := range []*follow.Follower{first, second} {
			go func() { _ = f.Run(ctx); done <- struct{}{} }()
		}
		for i := range 500 {
			s.put("abcdefgh"[i%8:i%8+1], i%3 == 0)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		g.Expect(objectNames(second)).To(Equal(objectNames(first)))
		g.Expect(second.Current.Load().Objects).To(Equal(first.Current.Load().Objects))
		g.Expect(s.lists).To(Equal(1))
		cancel()
		<-done
		<-done
	})
}

// followerSource is a Source that serves another follower's copy.
type followerSource struct{ *follow.Follower }

func (c followerSource) List(context.Context, string) (object.Listing, error) {
	s := c.Current.Load()
	if s == nil {
		return object.Listing{}, object.ErrUnavailable
	}
	return object.Listing{Cursor: s.Cursor, Changed: true, Objects: s.Objects}, nil
}

func (c followerSource) Changes(ctx context.Context, _ string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	return c.Since(ctx, cursor, wait)
}

// hastySource responds to a watch at once and without a change: the only ones were of
// objects that can't be decoded. It ends the test after too many calls.
type hastySource struct {
	*fakeStore
	calls  int
	cancel context.CancelFunc
}

func (s *hastySource) Changes(context.Context, string, object.Version, time.Duration) (follow.Delta, error) {
	if s.calls++; s.calls >= 1000 {
		s.cancel()
	}
	return follow.Delta{Cursor: object.Version(s.calls)}, nil
}

// Guards against a loop of calls to the store, each of which costs money, while another
// writer keeps storing objects that can't be decoded.
func TestPausesAfterChangesThatAreAllIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s := &hastySource{fakeStore: newFakeStore(), cancel: cancel}
		f := follow.New(follow.Config{Kind: "k", Wait: time.Second}, s, log.NewNopLogger())
		_ = f.Run(ctx)
		NewWithT(t).Expect(s.calls).To(BeNumerically("<=", 18))
	})
}
