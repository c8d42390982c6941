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

func twoMemberGroup(name, service string) fleet.Group {
	return fleet.Group{Name: name, Service: service, Size: 2, FabricDomain: "f"}
}

// Guards against a holder that was paused and, after it resumes, overwrites a
// newer placement or sends commands from an older one.
func TestPausedHolderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		c := newCluster(g, 4, twoMemberGroup("a", "high"))
		c.run(ctx, 20*time.Second, 1)
		g.Expect(describeGroups(c.placement())).To(HaveLen(1))
		c.configure("1", twoMemberGroup("a", "high"), twoMemberGroup("b", "low"))
		first, second := c.nodes[0], c.nodes[1]
		first.grantLease(1, 0)
		for range 60 {
			second.grantLease(2, 4*time.Second)
			c.tick(ctx)
		}
		version, before := c.placementObject.Version, describeGroups(c.placement())
		g.Expect(before).To(HaveLen(2))
		c.conflicts, c.commands = 0, 0
		// The first node resumes with a lease that still looks valid and an old
		// placement on its blackboard. Its configuration has no groups.
		first.board.Configuration.Publish(&fleet.Configuration{})
		first.grantLease(1, 4*time.Second)
		c.tick(ctx)
		g.Expect(c.conflicts).To(Equal(1))
		g.Expect(c.commands).To(BeZero())
		g.Expect(c.placementObject.Version).To(Equal(version))
		g.Expect(describeGroups(c.placement())).To(Equal(before))
	})
}

// Guards against commands from a placement of which the blackboard holds a newer
// version, and against commands under a lease that is about to expire.
func TestNoCommandWithoutNewestPlacementAndLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		c := newCluster(g, 2, twoMemberGroup("a", "high"))
		c.run(ctx, 20*time.Second, 1)
		for _, e := range c.engines {
			e.apply(fleet.Command{Generation: e.highestGeneration})
		}
		first := c.nodes[0]
		held := first.board.Placements.Load().ByDomain["f"]
		newer := *held
		newer.Version++
		first.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"f": &newer}})
		c.failReads, c.commands = true, 0
		c.run(ctx, 3*time.Second, 1)
		g.Expect(c.commands).To(BeZero())
		first.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"f": held}})
		c.failReads = false
		for range 10 {
			first.grantLease(1, placement.DefaultLeaseMargin)
			c.tick(ctx)
		}
		g.Expect(c.commands).To(BeZero())
		c.run(ctx, 10*time.Second, 1)
		g.Expect(c.commands).To(Equal(2))
	})
}

// Guards against a member that returns with its old role and is used in it
// again, or is never used again.
func TestReturningMemberIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		c := newCluster(g, 3, twoMemberGroup("a", "high"))
		c.run(ctx, 20*time.Second, 1)
		member := c.placement().Groups[0].Members[0].Instance
		c.engines[member].down = true
		c.run(ctx, 30*time.Second, 1)
		g.Expect(groupByInstance(c.placement())).NotTo(HaveKey(member))
		g.Expect(c.placement().Groups[0].Phase).To(Equal(fleet.PhaseServing))
		c.engines[member].down = false
		g.Expect(c.engines[member].report.Group).To(Equal("a"))
		c.run(ctx, 5*time.Second, 1)
		g.Expect(c.engines[member].report.Free()).To(BeTrue())
		g.Expect(groupByInstance(c.placement())).NotTo(HaveKey(member))
	})
}

// Guards against a leaving engine that is never released and is killed when its
// stop time is over.
func TestLeavingMemberIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		c := newCluster(g, 3, twoMemberGroup("a", "high"))
		c.run(ctx, 20*time.Second, 1)
		member := c.placement().Groups[0].Members[0].Instance
		c.engines[member].report.State = fleet.EngineLeaving
		i := slices.IndexFunc(c.list.Instances, func(i fleet.Instance) bool { return i.ID == member })
		c.list.Instances[i].State = fleet.InstanceLeaving
		c.publishList(c.list.Instances)
		c.run(ctx, 20*time.Second, 1)
		g.Expect(groupByInstance(c.placement())).NotTo(HaveKey(member))
		g.Expect(c.engines[member].report.Group).To(BeEmpty())
	})
}

// Guards against a lagging or flapping instance list that moves members whose
// reports are fresh.
func TestListFlappingChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, ctx := NewWithT(t), t.Context()
		c := newCluster(g, 6, twoMemberGroup("a", "high"), twoMemberGroup("b", "low"))
		c.run(ctx, 20*time.Second, 1)
		version := c.placementObject.Version
		random := rand.New(rand.NewPCG(1, 1))
		for range 40 {
			shown := slices.DeleteFunc(slices.Clone(c.list.Instances), func(fleet.Instance) bool { return random.IntN(2) == 0 })
			c.publishList(shown)
			c.run(ctx, time.Second, 1)
		}
		g.Expect(c.placementObject.Version).To(Equal(version))
	})
}

// Guards against sequences of faults in which an instance is in two groups or
// enters another group before it reported that it is idle after its release, and
// after which groups do not recover.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(NewWithT(t), t.Context(), seed) })
		})
	}
}

func runRandomFaults(g *WithT, ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	groups := []fleet.Group{twoMemberGroup("a", "high"), twoMemberGroup("b", "high"), twoMemberGroup("c", "low"), twoMemberGroup("d", "low")}
	c := newCluster(g, 9, groups...)
	c.delayCommand = func() bool { return random.IntN(20) == 0 }
	for step := range 2400 {
		c.injectFault(random, groups)
		// Occasionally both nodes hold a lease that looks valid.
		for i, h := range c.nodes {
			if step/200%2 == i || random.IntN(50) == 0 {
				h.grantLease(uint64(step/200+1), 2*time.Second)
			}
		}
		c.tick(ctx)
	}
	for _, late := range c.delayedCommands {
		late()
	}
	c.delayCommand, c.loseWriteResults, c.delayedCommands = nil, false, nil
	for _, e := range c.engines {
		e.down = false
	}
	c.nodes[1].grantLease(0, 0)
	c.publishList(c.list.Instances)
	c.configure("1", groups...)
	c.run(ctx, 3*time.Minute, 1000)
	g.Expect(c.placement().Groups).To(HaveLen(4))
	for _, placed := range c.placement().Groups {
		g.Expect(placed.Phase).To(Equal(fleet.PhaseServing))
		for rank, m := range placed.Members {
			g.Expect(c.engines[m.Instance].report.Fills(&placed, rank)).To(BeTrue())
		}
	}
}

// injectFault injects at most one fault or recovery and randomly makes write
// results ambiguous.
func (c *cluster) injectFault(random *rand.Rand, groups []fleet.Group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseWriteResults = random.IntN(10) == 0
	e := c.engines[fmt.Sprintf("i%02d", random.IntN(len(c.engines)))]
	switch random.IntN(120) {
	case 0, 1:
		e.down = true
	case 2, 3, 4, 5:
		e.down = false
	case 6:
		e.report = fleet.Report{Instance: e.report.Instance, State: fleet.EngineIdle}
	case 7:
		c.configure(fmt.Sprint(1+random.IntN(2)), groups[:1+random.IntN(4)]...)
	case 8:
		shown := slices.Clone(c.list.Instances)
		shown[random.IntN(len(shown))].State = fleet.InstanceLeaving
		c.publishList(shown)
	case 9:
		c.publishList(c.list.Instances[random.IntN(4):])
	case 10, 11:
		if len(c.delayedCommands) > 0 {
			c.delayedCommands[0]()
			c.delayedCommands = c.delayedCommands[1:]
		}
	}
}
