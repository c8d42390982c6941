package lease_test

import (
	"context"
	"encoding/json"
	"sync"
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

// store holds one object. Calls it does not need stay unimplemented.
type store struct {
	object.Store
	mu       sync.Mutex
	current  object.Object
	loseNext bool
	down     bool
}

func (s *store) Get(context.Context, object.Key) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return object.Object{}, object.ErrUnavailable
	}
	if s.current.Version == 0 {
		return object.Object{}, object.ErrNotFound
	}
	return s.current, nil
}

func (s *store) Update(_ context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, object.ErrUnavailable
	}
	if expected != s.current.Version {
		return 0, object.ErrConflict
	}
	s.current = object.Object{Key: key, Version: expected + 1, Value: value}
	if s.loseNext {
		s.loseNext = false
		return 0, object.ErrAmbiguous
	}
	return s.current.Version, nil
}

func (s *store) record() (r lease.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.Unmarshal(s.current.Value, &r)
	return r
}

// gate lets calls of one node fail.
type gate struct {
	*store
	mu     sync.Mutex
	closed bool
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

func (g *gate) Get(ctx context.Context, key object.Key) (object.Object, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return object.Object{}, object.ErrUnavailable
	}
	return g.store.Get(ctx, key)
}

func (g *gate) Update(ctx context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return 0, object.ErrUnavailable
	}
	return g.store.Update(ctx, key, expected, value)
}

type node struct {
	name  string
	board blackboard.Board
	gate  gate
	stop  context.CancelFunc
	done  chan struct{}
}

func start(s *store, name string) *node { return startAs(s, name, lease.Config{}) }

func startAs(s *store, name string, cfg lease.Config) *node {
	cfg.Node, cfg.Boot = name, name+"-1"
	n := &node{name: name, gate: gate{store: s}, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	m := lease.New(cfg, &n.gate, &n.board,
		func() []string { return []string{shard} }, log.NewNopLogger(), metrics.NewRegistry())
	go func() {
		_ = m.Run(ctx)
		close(n.done)
	}()
	return n
}

func (n *node) sees(states map[string]fleet.NodeState) {
	all := &blackboard.Members{Self: n.name}
	for name, state := range states {
		all.All = append(all.All, fleet.MemberView{HeardAt: time.Now().Add(time.Hour),
			Member: fleet.Member{Node: name, State: state}})
	}
	n.board.Members.Publish(all)
}

func (n *node) holds() (blackboard.HeldShard, bool) {
	shards := n.board.Shards.Load()
	if shards == nil {
		return blackboard.HeldShard{}, false
	}
	held, ok := shards.Held[shard]
	return held, ok && time.Now().Before(held.GoodUntil)
}

// pair starts two nodes and returns the holder first.
func pair(g *WithT, s *store) (holder, other *node) {
	a, b := start(s, "a"), start(s, "b")
	both(fleet.NodeServing, a, b)
	time.Sleep(time.Second)
	_, aHolds := a.holds()
	_, bHolds := b.holds()
	g.Expect(aHolds).NotTo(Equal(bHolds))
	if bHolds {
		return b, a
	}
	return a, b
}

// both tells all nodes the state of the first; the others serve.
func both(state fleet.NodeState, first *node, others ...*node) {
	states := map[string]fleet.NodeState{first.name: state}
	for _, n := range others {
		states[n.name] = fleet.NodeServing
	}
	for _, n := range append(others, first) {
		n.sees(states)
	}
}

func end(nodes ...*node) {
	for _, n := range nodes {
		n.stop()
		<-n.done
	}
}

// Guards against a takeover while the silent holder still believes in its lease,
// and against one that takes much longer than the lease.
func TestTakeoverAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		holder, other := pair(g, s)
		before, _ := holder.holds()
		holder.gate.set(true)
		silent := time.Now()
		other.sees(map[string]fleet.NodeState{other.name: fleet.NodeServing})
		for {
			held, ok := other.holds()
			if ok {
				_, still := holder.holds()
				g.Expect(still).To(BeFalse())
				g.Expect(held.Epoch).To(BeNumerically(">", before.Epoch))
				break
			}
			g.Expect(time.Since(silent)).To(BeNumerically("<", 6*time.Second))
			time.Sleep(10 * time.Millisecond)
		}
		holder.gate.set(false)
		time.Sleep(3 * time.Second)
		_, still := holder.holds()
		g.Expect(still).To(BeFalse())
		end(holder, other)
	})
}

// Guards against a planned stop that leaves the shard without a holder until
// the lease expires.
func TestShutdownReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		holder, other := pair(g, s)
		// The release must also get through after a renewal of unknown outcome.
		s.mu.Lock()
		s.loseNext = true
		s.mu.Unlock()
		end(holder)
		g.Expect(s.record().Released).To(BeTrue())
		_, still := holder.holds()
		g.Expect(still).To(BeFalse())
		both(fleet.NodeLeaving, holder, other)
		time.Sleep(2 * time.Second)
		_, ok := other.holds()
		g.Expect(ok).To(BeTrue())
		end(other)
	})
}

// Guards against a flapping member that moves shards back and forth, and against
// a shard that never returns to its first choice.
func TestGivesUpToStableMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		first, second := pair(g, s)
		both(fleet.NodeLeaving, first, second)
		time.Sleep(3 * time.Second)
		_, ok := second.holds()
		g.Expect(ok).To(BeTrue())
		epoch := s.record().Epoch
		for range 5 {
			both(fleet.NodeServing, first, second)
			time.Sleep(3 * time.Second)
			both(fleet.NodeLeaving, first, second)
			time.Sleep(time.Second)
		}
		g.Expect(s.record().Epoch).To(Equal(epoch))
		both(fleet.NodeServing, first, second)
		time.Sleep(8 * time.Second)
		_, ok = first.holds()
		g.Expect(ok).To(BeTrue())
		g.Expect(s.record().Epoch).To(Equal(epoch + 1))
		end(first, second)
	})
}

// Guards against a lease that is lost, or taken under a second epoch, because
// the answer to a write was lost, and against one that outlives an outage.
func TestLostAnswersAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{loseNext: true}
		n := start(s, "a")
		n.sees(map[string]fleet.NodeState{"a": fleet.NodeServing})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, ok := n.holds()
			g.Expect(ok).To(BeTrue())
			s.mu.Lock()
			s.loseNext = true
			s.mu.Unlock()
		}
		g.Expect(s.record().Epoch).To(Equal(uint64(1)))
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(lease.DefaultDuration + time.Second)
		_, ok := n.holds()
		g.Expect(ok).To(BeFalse())
		end(n)
	})
}

// Guards against a lease that nobody holds because the first choice, which other
// nodes hear well, can't reach the platform.
func TestSecondChoiceClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		first, second := pair(g, s)
		first.gate.set(true)
		time.Sleep(lease.DefaultDuration + 2*lease.DefaultRenew + 2*time.Second)
		_, ok := second.holds()
		g.Expect(ok).To(BeTrue())
		_, ok = first.holds()
		g.Expect(ok).To(BeFalse())
		end(first, second)
	})
}

// Guards against waiting for the lease of a process that has certainly ended.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		s.current = object.Object{Key: object.Key{Kind: lease.Kind, Name: shard}, Version: 3,
			Value: []byte(`{"holder":"a","boot":"a-0","epoch":4,"renewal":2,"durationMs":4000}`)}
		n := startAs(s, "a", lease.Config{SoleBoot: true})
		n.sees(map[string]fleet.NodeState{"a": fleet.NodeServing})
		time.Sleep(time.Second)
		held, ok := n.holds()
		g.Expect(ok).To(BeTrue())
		g.Expect(held.Epoch).To(Equal(uint64(5)))
		end(n)
	})
}
