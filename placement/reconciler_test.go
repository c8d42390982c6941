package placement_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/placement"
)

func pairOf(name, service string) fleet.Group {
	return fleet.Group{Name: name, Service: service, Size: 2, FabricDomain: "f"}
}

// Guards against a holder that was paused, wakes and writes over a newer
// placement or commands engines from an older one.
func TestPausedHolderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		w := newWorld(g, 4, pairOf("a", "high"))
		w.run(ctx, 20*time.Second, 1)
		g.Expect(show(w.placement())).To(HaveLen(1))
		w.configure("1", pairOf("a", "high"), pairOf("b", "low"))
		first, second := w.nodes[0], w.nodes[1]
		first.hold(1, 0)
		for range 60 {
			second.hold(2, 4*time.Second)
			w.tick(ctx)
		}
		version, before := w.stored.Version, show(w.placement())
		g.Expect(before).To(HaveLen(2))
		w.conflicts, w.commands = 0, 0
		// The first one resumes with a lease that it believes in and an old
		// placement on its blackboard. Its configuration asks for less.
		first.board.Configuration.Publish(&fleet.Configuration{})
		first.hold(1, 4*time.Second)
		w.tick(ctx)
		g.Expect(w.conflicts).To(Equal(1))
		g.Expect(w.commands).To(BeZero())
		g.Expect(w.stored.Version).To(Equal(version))
		g.Expect(show(w.placement())).To(Equal(before))
	})
}

// Guards against commands from a placement that is known to be superseded, and
// against commands under a lease that is about to end.
func TestNoCommandWithoutNewestPlacementAndLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		w := newWorld(g, 2, pairOf("a", "high"))
		w.run(ctx, 20*time.Second, 1)
		for _, e := range w.engines {
			e.obey(fleet.Order{Generation: e.highest})
		}
		first := w.nodes[0]
		held := first.board.Placements.Load().ByDomain["f"]
		newer := *held
		newer.Version++
		first.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"f": &newer}})
		w.closed, w.commands = true, 0
		w.run(ctx, 3*time.Second, 1)
		g.Expect(w.commands).To(BeZero())
		first.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"f": held}})
		w.closed = false
		for range 10 {
			first.hold(1, placement.DefaultLeaseMargin)
			w.tick(ctx)
		}
		g.Expect(w.commands).To(BeZero())
		w.run(ctx, 10*time.Second, 1)
		g.Expect(w.commands).To(Equal(2))
	})
}

// Guards against a member that returns with its old role and is used again, or
// stays out of use for ever.
func TestReturningMemberIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		w := newWorld(g, 3, pairOf("a", "high"))
		w.run(ctx, 20*time.Second, 1)
		member := w.placement().Groups[0].Members[0].Instance
		w.engines[member].down = true
		w.run(ctx, 30*time.Second, 1)
		g.Expect(groupOf(w.placement())).NotTo(HaveKey(member))
		g.Expect(w.placement().Groups[0].Phase).To(Equal(fleet.PhaseServing))
		w.engines[member].down = false
		g.Expect(w.engines[member].report.Group).To(Equal("a"))
		w.run(ctx, 5*time.Second, 1)
		g.Expect(w.engines[member].report.Free()).To(BeTrue())
		g.Expect(groupOf(w.placement())).NotTo(HaveKey(member))
	})
}

// Guards against a leaving engine that waits in vain to be released and is cut
// off when its time to stop is over.
func TestLeavingMemberIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		w := newWorld(g, 3, pairOf("a", "high"))
		w.run(ctx, 20*time.Second, 1)
		member := w.placement().Groups[0].Members[0].Instance
		w.engines[member].report.State = fleet.EngineLeaving
		i := slices.IndexFunc(w.list.Instances, func(i fleet.Instance) bool { return i.ID == member })
		w.list.Instances[i].State = fleet.InstanceLeaving
		w.showList(w.list.Instances)
		w.run(ctx, 20*time.Second, 1)
		g.Expect(groupOf(w.placement())).NotTo(HaveKey(member))
		g.Expect(w.engines[member].report.Group).To(BeEmpty())
	})
}

// Guards against a lagging or flapping instance list that moves members whose
// reports are fresh.
func TestListFlappingChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		w := newWorld(g, 6, pairOf("a", "high"), pairOf("b", "low"))
		w.run(ctx, 20*time.Second, 1)
		version := w.stored.Version
		random := rand.New(rand.NewPCG(1, 1))
		for range 40 {
			shown := slices.DeleteFunc(slices.Clone(w.list.Instances), func(fleet.Instance) bool { return random.IntN(2) == 0 })
			w.showList(shown)
			w.run(ctx, time.Second, 1)
		}
		g.Expect(w.stored.Version).To(Equal(version))
	})
}

// Guards against any history of faults in which an instance is in two groups or
// enters another group before it reported itself idle after its release, and
// against faults after which groups do not recover.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { history(NewWithT(t), t.Context(), seed) })
		})
	}
}

func history(g *WithT, ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	groups := []fleet.Group{pairOf("a", "high"), pairOf("b", "high"), pairOf("c", "low"), pairOf("d", "low")}
	w := newWorld(g, 9, groups...)
	w.delay = func() bool { return random.IntN(20) == 0 }
	for step := range 2400 {
		w.disturb(random, groups)
		// Now and then both nodes believe that they hold the shard.
		for i, h := range w.nodes {
			if step/200%2 == i || random.IntN(50) == 0 {
				h.hold(uint64(step/200+1), 2*time.Second)
			}
		}
		w.tick(ctx)
	}
	for _, late := range w.delayed {
		late()
	}
	w.delay, w.lose, w.delayed = nil, false, nil
	for _, e := range w.engines {
		e.down = false
	}
	w.nodes[1].hold(0, 0)
	w.showList(w.list.Instances)
	w.configure("1", groups...)
	w.run(ctx, 3*time.Minute, 1000)
	g.Expect(w.placement().Groups).To(HaveLen(4))
	for _, placed := range w.placement().Groups {
		g.Expect(placed.Phase).To(Equal(fleet.PhaseServing))
		for rank, m := range placed.Members {
			g.Expect(w.engines[m.Instance].report.Fills(&placed, rank)).To(BeTrue())
		}
	}
}

// disturb injects at most a few faults.
func (w *world) disturb(random *rand.Rand, groups []fleet.Group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose = random.IntN(10) == 0
	e := w.engines[fmt.Sprintf("i%02d", random.IntN(len(w.engines)))]
	switch random.IntN(120) {
	case 0, 1:
		e.down = true
	case 2, 3, 4, 5:
		e.down = false
	case 6:
		e.report = fleet.Report{Instance: e.report.Instance, State: fleet.EngineIdle}
	case 7:
		w.configure(fmt.Sprint(1+random.IntN(2)), groups[:1+random.IntN(4)]...)
	case 8:
		shown := slices.Clone(w.list.Instances)
		shown[random.IntN(len(shown))].State = fleet.InstanceLeaving
		w.showList(shown)
	case 9:
		w.showList(w.list.Instances[random.IntN(4):])
	case 10, 11:
		if len(w.delayed) > 0 {
			w.delayed[0]()
			w.delayed = w.delayed[1:]
		}
	}
}
