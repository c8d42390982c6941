package lease_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/object"
)

const shard = "placement/f"

// fakeStore is a store with one object. Methods that the tests do not need are not
// implemented.
type fakeStore struct {
	object.Store
	mu             sync.Mutex
	current        object.Object
	loseNextResult bool
	down           bool
	// beforeUpdate is called once before the next update.
	beforeUpdate func()
}

func (s *fakeStore) Get(context.Context, object.Key) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return object.Object{}, object.ErrUnavailable
	}
	if !s.current.Version.Exists() {
		return object.Object{Version: s.current.Version}, object.ErrNotFound
	}
	return s.current, nil
}

func (s *fakeStore) Update(_ context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, object.ErrUnavailable
	}
	if before := s.beforeUpdate; before != nil {
		s.beforeUpdate = nil
		before()
	}
	// An object is created in whatever era the store is.
	creates := !expected.Exists() && !s.current.Version.Exists()
	if expected != s.current.Version && !creates {
		return 0, object.ErrConflict
	}
	s.current = object.Object{Key: key, Version: s.current.Version + 1, Value: value}
	if s.loseNextResult {
		s.loseNextResult = false
		return 0, object.ErrAmbiguous
	}
	return s.current.Version, nil
}

func (s *fakeStore) record() (r lease.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.Unmarshal(s.current.Value, &r)
	return r
}

// faultyStore is one node's access to a fakeStore, whose calls can be made to fail.
type faultyStore struct {
	*fakeStore
	mu      sync.Mutex
	failing bool
}

func (f *faultyStore) setFailing(failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = failing
}

func (f *faultyStore) Get(ctx context.Context, key object.Key) (object.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing {
		return object.Object{}, object.ErrUnavailable
	}
	return f.fakeStore.Get(ctx, key)
}

func (f *faultyStore) Update(ctx context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing {
		return 0, object.ErrUnavailable
	}
	return f.fakeStore.Update(ctx, key, expected, value)
}

type testNode struct {
	name  string
	board blackboard.Board
	store faultyStore
	// suspension is the time for which the node's machine was suspended.
	suspension atomic.Int64
	stop       context.CancelFunc
	done       chan struct{}
}

func startNode(s *fakeStore, name string) *testNode { return startNodeWith(s, name, lease.Config{}) }

func startNodeWith(s *fakeStore, name string, cfg lease.Config) *testNode {
	cfg.Node, cfg.Boot = name, name+"-1"
	n := &testNode{name: name, store: faultyStore{fakeStore: s}, done: make(chan struct{})}
	cfg.Suspended = n.suspended
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	m := lease.New(cfg, &n.store, &n.board,
		func() []string { return []string{shard} }, log.NewNopLogger(), metrics.NewRegistry())
	go func() {
		_ = m.Run(ctx)
		close(n.done)
	}()
	return n
}

func (n *testNode) publishMembers(states map[string]fleet.NodeState) {
	all := &blackboard.Members{Self: n.name}
	for name, state := range states {
		all.All = append(all.All, fleet.MemberView{HeartbeatAt: time.Now().Add(time.Hour),
			Member: fleet.Member{Node: name, State: state}})
	}
	n.board.Members.Publish(all)
}

func (n *testNode) suspended() time.Duration { return time.Duration(n.suspension.Load()) }

func (n *testNode) heldShard() (blackboard.HeldShard, bool) {
	shards := n.board.Shards.Load()
	if shards == nil {
		return blackboard.HeldShard{}, false
	}
	held, ok := shards.Held[shard]
	return held, ok && held.ValidFor(time.Now(), n.suspended()) > 0
}

// startPair starts two nodes and returns the holder first.
func startPair(g *WithT, s *fakeStore) (holder, other *testNode) {
	a, b := startNode(s, "a"), startNode(s, "b")
	publishStates(fleet.NodeServing, a, b)
	time.Sleep(time.Second)
	_, aHolds := a.heldShard()
	_, bHolds := b.heldShard()
	g.Expect(aHolds).NotTo(Equal(bHolds))
	if bHolds {
		return b, a
	}
	return a, b
}

// publishStates publishes the same members to all nodes: first has the given state, the
// others are serving.
func publishStates(state fleet.NodeState, first *testNode, others ...*testNode) {
	states := map[string]fleet.NodeState{first.name: state}
	for _, n := range others {
		states[n.name] = fleet.NodeServing
	}
	for _, n := range append(others, first) {
		n.publishMembers(states)
	}
}

func stopNodes(nodes ...*testNode) {
	for _, n := range nodes {
		n.stop()
		<-n.done
	}
}

// Guards against a takeover while a holder that cannot reach the platform still acts
// under its lease, and against a takeover that takes much longer than the lease.
func TestTakeoverAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{}
		holder, other := startPair(g, s)
		before, _ := holder.heldShard()
		holder.store.setFailing(true)
		failedAt := time.Now()
		other.publishMembers(map[string]fleet.NodeState{other.name: fleet.NodeServing})
		for {
			held, ok := other.heldShard()
			if ok {
				_, still := holder.heldShard()
				g.Expect(still).To(BeFalse())
				g.Expect(held.Epoch).To(BeNumerically(">", before.Epoch))
				break
			}
			g.Expect(time.Since(failedAt)).To(BeNumerically("<", 6*time.Second))
			time.Sleep(10 * time.Millisecond)
		}
		holder.store.setFailing(false)
		time.Sleep(3 * time.Second)
		_, still := holder.heldShard()
		g.Expect(still).To(BeFalse())
		stopNodes(holder, other)
	})
}

// Guards against a holder that acts under its lease after its machine was suspended for
// longer than the lease: its clock stood still while another node acquired it.
func TestSuspendedHolderDoesNotActAfterItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{}
		holder, other := startPair(g, s)
		before, held := holder.heldShard()
		g.Expect(held).To(BeTrue())
		holder.store.setFailing(true)
		holder.suspension.Add(int64(lease.DefaultDuration - 100*time.Millisecond))
		valid := before.ValidFor(time.Now(), holder.suspended())
		g.Expect(valid).To(BeNumerically("<=", 100*time.Millisecond))
		holder.suspension.Add(int64(time.Second))
		_, held = holder.heldShard()
		g.Expect(held).To(BeFalse(), "the lease counts as held after a suspension of its duration")
		stopNodes(holder, other)
	})
}

// Guards against a planned shutdown that leaves the shard without a holder until the
// lease expires.
func TestShutdownReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{}
		holder, other := startPair(g, s)
		// The release must also succeed after a renewal with an unknown outcome.
		s.mu.Lock()
		s.loseNextResult = true
		s.mu.Unlock()
		stopNodes(holder)
		g.Expect(s.record().Released).To(BeTrue())
		_, still := holder.heldShard()
		g.Expect(still).To(BeFalse())
		publishStates(fleet.NodeLeaving, holder, other)
		time.Sleep(2 * time.Second)
		_, ok := other.heldShard()
		g.Expect(ok).To(BeTrue())
		stopNodes(other)
	})
}

// Guards against a flapping member that moves shards back and forth, and against a
// shard that never returns to its preferred holder.
func TestHandsOverToStableMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{}
		first, second := startPair(g, s)
		publishStates(fleet.NodeLeaving, first, second)
		time.Sleep(3 * time.Second)
		_, ok := second.heldShard()
		g.Expect(ok).To(BeTrue())
		epoch := s.record().Epoch
		for range 5 {
			publishStates(fleet.NodeServing, first, second)
			time.Sleep(3 * time.Second)
			publishStates(fleet.NodeLeaving, first, second)
			time.Sleep(time.Second)
		}
		g.Expect(s.record().Epoch).To(Equal(epoch))
		publishStates(fleet.NodeServing, first, second)
		time.Sleep(8 * time.Second)
		_, ok = first.heldShard()
		g.Expect(ok).To(BeTrue())
		g.Expect(s.record().Epoch).To(Equal(epoch + 1))
		stopNodes(first, second)
	})
}

// Guards against a lease that is lost, or acquired again under a new epoch, because the
// result of a write was lost, and against a lease that stays valid during a platform
// outage that is longer than its duration.
func TestAmbiguousWritesAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{loseNextResult: true}
		n := startNode(s, "a")
		n.publishMembers(map[string]fleet.NodeState{"a": fleet.NodeServing})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, ok := n.heldShard()
			g.Expect(ok).To(BeTrue())
			s.mu.Lock()
			s.loseNextResult = true
			s.mu.Unlock()
		}
		g.Expect(s.record().Epoch).To(Equal(uint64(1)))
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(lease.DefaultDuration + time.Second)
		_, ok := n.heldShard()
		g.Expect(ok).To(BeFalse())
		stopNodes(n)
	})
}

// Guards against a shard that has no holder because the preferred node is alive for the
// other nodes but cannot reach the platform.
func TestSecondChoiceAcquiresLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{}
		first, second := startPair(g, s)
		first.store.setFailing(true)
		time.Sleep(lease.DefaultDuration + 2*lease.DefaultRenewInterval + 2*time.Second)
		_, ok := second.heldShard()
		g.Expect(ok).To(BeTrue())
		_, ok = first.heldShard()
		g.Expect(ok).To(BeFalse())
		stopNodes(first, second)
	})
}

// Guards against a wait for the expiry of a lease whose holder has certainly ended.
func TestRestartedHolderAcquiresLeaseWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeStore{}
		s.current = object.Object{Key: object.Key{Kind: lease.Kind, Name: shard}, Version: 3,
			Value: []byte(`{"holder":"a","boot":"a-0","epoch":4,"renewal":2,"durationMs":4000}`)}
		n := startNodeWith(s, "a", lease.Config{ExclusiveProcess: true})
		n.publishMembers(map[string]fleet.NodeState{"a": fleet.NodeServing})
		time.Sleep(time.Second)
		held, ok := n.heldShard()
		g.Expect(ok).To(BeTrue())
		g.Expect(held.Epoch).To(Equal(uint64(5)))
		stopNodes(n)
	})
}
