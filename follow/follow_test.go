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

// source is a store with a script of changes.
type source struct {
	mu      sync.Mutex
	objects map[string]object.Object
	cursor  object.Version
	history []follow.Event
	since   object.Version
	down    bool
	lists   int
}

func newSource() *source { return &source{objects: map[string]object.Object{}} }

func (s *source) put(name string, deleted bool) {
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

func (s *source) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.since = nil, s.cursor
}

func (s *source) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *source) List(context.Context, string) (object.Listing, error) {
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

func (s *source) Changes(_ context.Context, _ string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	for range 20 {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return follow.Delta{}, object.ErrUnavailable
		}
		if cursor < s.since {
			s.mu.Unlock()
			return follow.Delta{}, follow.ErrHistoryGone
		}
		if cursor < s.cursor {
			delta := follow.Delta{Cursor: s.cursor, Events: s.history[cursor-s.since:]}
			s.mu.Unlock()
			return delta, nil
		}
		s.mu.Unlock()
		time.Sleep(wait / 20)
	}
	return follow.Delta{Cursor: cursor}, nil
}

func names(f *follow.Follower) []string {
	var all []string
	if s := f.Current.Load(); s != nil {
		for _, o := range s.Objects {
			all = append(all, o.Key.Name)
		}
	}
	return all
}

// Guards against missed changes: after a deletion, after an outage, and after the
// store has dropped the changes that a watch would need.
func TestFollowsThroughOutageAndLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSource()
		s.put("a", false)
		f := follow.New(follow.Config{Kind: "k", Wait: time.Second}, s, log.NewNopLogger())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = f.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		g.Expect(names(f)).To(Equal([]string{"a"}))
		s.put("b", false)
		s.put("a", true)
		time.Sleep(time.Second)
		g.Expect(names(f)).To(Equal([]string{"b"}))
		s.set(true)
		time.Sleep(2 * time.Second)
		g.Expect(f.SilentFor()).To(BeNumerically(">", time.Second))
		s.put("c", false)
		s.compact()
		s.set(false)
		time.Sleep(2 * time.Second)
		g.Expect(names(f)).To(Equal([]string{"b", "c"}))
		g.Expect(s.lists).To(Equal(2))
		cancel()
		<-done
	})
}

// Guards against an older copy from another node that replaces a newer one.
func TestAdoptsOnlyNewerCopies(t *testing.T) {
	g := NewWithT(t)
	f := follow.New(follow.Config{Kind: "k"}, newSource(), log.NewNopLogger())
	one := object.Object{Key: object.Key{Kind: "k", Name: "one"}}
	two := object.Object{Key: object.Key{Kind: "k", Name: "two"}}
	f.Adopt(follow.Snapshot{Cursor: 5, Objects: []object.Object{two, one}})
	g.Expect(names(f)).To(Equal([]string{"one", "two"}))
	f.Adopt(follow.Snapshot{Cursor: 4})
	g.Expect(names(f)).To(Equal([]string{"one", "two"}))
	g.Expect(f.Cursor()).To(Equal(object.Version(5)))
}

// Guards against a copy of a copy that misses changes or repeats old ones.
func TestPassesChangesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSource()
		s.put("a", false)
		first := follow.New(follow.Config{Kind: "k", Wait: time.Second}, s, log.NewNopLogger())
		_, err := first.Since(context.Background(), 0, time.Second)
		g.Expect(err).To(MatchError(follow.ErrHistoryGone))
		second := follow.New(follow.Config{Kind: "k", Wait: time.Second}, copyOf{first}, log.NewNopLogger())
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
		g.Expect(names(second)).To(Equal(names(first)))
		g.Expect(second.Current.Load().Objects).To(Equal(first.Current.Load().Objects))
		g.Expect(s.lists).To(Equal(1))
		cancel()
		<-done
		<-done
	})
}

// copyOf follows another follower's copy.
type copyOf struct{ *follow.Follower }

func (c copyOf) List(context.Context, string) (object.Listing, error) {
	s := c.Current.Load()
	if s == nil {
		return object.Listing{}, object.ErrUnavailable
	}
	return object.Listing{Cursor: s.Cursor, Changed: true, Objects: s.Objects}, nil
}

func (c copyOf) Changes(ctx context.Context, _ string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	return c.Since(ctx, cursor, wait)
}
