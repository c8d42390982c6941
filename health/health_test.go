package health_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/health"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

func members(n int) []fleet.MemberView {
	views := make([]fleet.MemberView, n)
	for i := range views {
		views[i].Node = fmt.Sprintf("node-%d", i)
		views[i].FailureDomain = fmt.Sprintf("domain-%d", i%3)
		views[i].State = fleet.NodeServing
	}
	return views
}

var _ = Describe("Observers", func() {
	It("chooses serving members in different failure domains", func() {
		// Guards against one failure domain that takes all observers with it.
		all := members(9)
		all[4].State = fleet.NodeLeaving
		domain := make(map[string]string)
		for _, m := range all {
			domain[m.Node] = m.FailureDomain
		}
		for i := range 200 {
			chosen := health.Observers(fmt.Sprintf("i-%d", i), all, 2)
			Expect(chosen).To(HaveLen(2))
			Expect(chosen).NotTo(ContainElement("node-4"))
			Expect(domain[chosen[0]]).NotTo(Equal(domain[chosen[1]]))
		}
	})

	It("moves only the instances of a member that goes", func() {
		// Guards against a change of membership that restarts all probing.
		all := members(9)
		for i := range 200 {
			id := fmt.Sprintf("i-%d", i)
			before := health.Observers(id, all, 2)
			if before[0] != "node-8" && before[1] != "node-8" {
				Expect(health.Observers(id, all[:8], 2)).To(Equal(before))
			}
		}
	})
})

func observation(id string, at time.Time) blackboard.Observation {
	return blackboard.Observation{Report: fleet.Report{Instance: id}, ObservedAt: at}
}

// Guards against a late relayed report that revives an instance after its probe
// failed, and against a loss that waits for the publication interval.
func TestLossRemovesOlderEvidenceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var section blackboard.Section[blackboard.Evidence]
		table := health.NewTable(health.TableConfig{}, &section)
		start := time.Now()
		time.Sleep(100 * time.Millisecond)
		table.Observe(observation("a", start))
		table.Lose(blackboard.Loss{Instance: "a", At: start.Add(50 * time.Millisecond)})
		g.Expect(section.Load().ByInstance).To(BeEmpty())
		table.Observe(observation("a", start.Add(40*time.Millisecond)))
		g.Expect(table.Observations(time.Hour)).To(BeEmpty())
		table.Observe(observation("a", start.Add(60*time.Millisecond)))
		g.Expect(table.Observations(time.Hour)).To(HaveLen(1))
		// A loss that was relayed late must not remove newer evidence.
		table.Lose(blackboard.Loss{Instance: "a", At: start.Add(55 * time.Millisecond)})
		g.Expect(table.Observations(time.Hour)).To(HaveLen(1))
	})
}

// Guards against a publication for each report, which would cost a map copy for
// each of hundreds of probes a second, and against evidence that never expires.
func TestTableBatchesAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var section blackboard.Section[blackboard.Evidence]
		table := health.NewTable(health.TableConfig{}, &section)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = table.Run(ctx) }()
		published, last := 0, section.Load()
		for i := range 100 {
			table.Observe(observation(fmt.Sprintf("i-%d", i), time.Now()))
			time.Sleep(time.Millisecond)
			if now := section.Load(); now != last {
				published, last = published+1, now
			}
		}
		time.Sleep(25 * time.Millisecond)
		g.Expect(section.Load().ByInstance).To(HaveLen(100))
		g.Expect(published).To(BeNumerically("<=", 7))
		time.Sleep(health.DefaultTimeToLive + time.Second)
		g.Expect(section.Load().ByInstance).To(BeEmpty())
		cancel()
	})
}

// Guards against a changed role that waits like a mere renewal, which would keep
// a complete group out of use, and against a publication for each renewal, which
// costs several percent of a core at 600 instances.
func TestTablePublishesRenewalsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var section blackboard.Section[blackboard.Evidence]
		table := health.NewTable(health.TableConfig{}, &section)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = table.Run(ctx) }()
		table.Observe(observation("a", time.Now()))
		time.Sleep(health.DefaultPublishInterval + time.Millisecond)
		first := section.Load()
		g.Expect(first.ByInstance).To(HaveLen(1))
		table.Observe(observation("a", time.Now()))
		time.Sleep(health.DefaultRenewInterval / 2)
		g.Expect(section.Load()).To(BeIdenticalTo(first))
		changed := observation("a", time.Now())
		changed.Report.Group = "g"
		table.Observe(changed)
		time.Sleep(health.DefaultPublishInterval)
		g.Expect(section.Load().ByInstance["a"].Report.Group).To(Equal("g"))
		changed.ObservedAt = time.Now()
		table.Observe(changed)
		time.Sleep(health.DefaultRenewInterval + health.DefaultPublishInterval + time.Millisecond)
		g.Expect(section.Load().ByInstance["a"].ObservedAt).To(Equal(changed.ObservedAt))
		cancel()
	})
}

type announcer struct {
	mu      sync.Mutex
	batches [][]blackboard.Loss
}

func (a *announcer) AnnounceLosses(losses []blackboard.Loss) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.batches = append(a.batches, losses)
}

func (a *announcer) taken() [][]blackboard.Loss {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.batches
}

// slow answers after a delay.
type slow struct {
	health.StatusSource
	delay time.Duration
}

func (s slow) Status(ctx context.Context, address string) (fleet.Report, error) {
	select {
	case <-time.After(s.delay):
		return s.StatusSource.Status(ctx, address)
	case <-ctx.Done():
		return fleet.Report{}, ctx.Err()
	}
}

type bench struct {
	board     blackboard.Board
	table     *health.Table
	source    health.FakeSource
	announcer announcer
	prober    *health.Prober
}

func newBench(delay time.Duration) *bench {
	b := &bench{}
	b.board.Configuration.Publish(&fleet.Configuration{Services: []fleet.Service{{Name: "s", Kind: fleet.KindModel, Pool: "p"}}})
	b.list("a", "b")
	b.board.Members.Publish(&blackboard.Members{Self: "node-0", All: members(1)})
	b.table = health.NewTable(health.TableConfig{}, &b.board.Evidence)
	b.prober = health.NewProber(health.Config{Node: "node-0"}, &b.board, b.table,
		slow{&b.source, delay}, &b.announcer, log.NewNopLogger(), metrics.NewRegistry())
	for _, id := range []string{"a", "b"} {
		b.source.Set(id, fleet.Report{Instance: id, Boot: "1", State: fleet.EngineReady})
	}
	return b
}

func (b *bench) list(ids ...string) {
	list := &fleet.InstanceList{}
	for _, id := range ids {
		list.Instances = append(list.Instances, fleet.Instance{ID: id, Address: id, Pool: "p", State: fleet.InstanceLive})
	}
	b.board.Instances.Publish(list)
}

// Guards against evidence that is dated at the answer instead of the question,
// against losses of a rack that go out one by one, and against a loss that is
// announced on every probe or not again after the instance returned.
func TestProberDatesEvidenceAndBatchesLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(300 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		started := time.Now()
		b.source.Down("a")
		b.source.Down("b")
		go func() { _ = b.prober.Run(ctx) }()
		time.Sleep(350 * time.Millisecond)
		g.Expect(b.announcer.taken()).To(HaveLen(1))
		g.Expect(b.announcer.taken()[0]).To(HaveLen(2))
		g.Expect(b.announcer.taken()[0][0].At).To(Equal(started))
		for _, id := range []string{"a", "b"} {
			b.source.Set(id, fleet.Report{Instance: id})
		}
		time.Sleep(2 * time.Second)
		o, ok := b.table.Get("a")
		g.Expect(ok).To(BeTrue())
		g.Expect(time.Since(o.ObservedAt)).To(BeNumerically(">=", 300*time.Millisecond))
		// An instance that stays down would cost a call to every member each second.
		announced := len(b.announcer.taken())
		b.source.Down("b")
		time.Sleep(10 * time.Second)
		g.Expect(b.announcer.taken()).To(HaveLen(announced + 1))
		b.source.Set("b", fleet.Report{Instance: "b"})
		time.Sleep(2 * time.Second)
		b.source.Down("b")
		time.Sleep(10 * time.Second)
		g.Expect(b.announcer.taken()).To(HaveLen(announced + 2))
		// The loss is announced again when another observer has seen the instance.
		b.table.Observe(observation("b", time.Now()))
		time.Sleep(2 * time.Second)
		g.Expect(b.announcer.taken()).To(HaveLen(announced + 3))
		// The report of another instance at the address is no evidence.
		b.source.Set("a", fleet.Report{Instance: "z"})
		time.Sleep(1500 * time.Millisecond)
		_, ok = b.table.Get("a")
		g.Expect(ok).To(BeFalse())
		cancel()
	})
}

// Guards against a probe that starts only after the interval when an instance
// becomes this node's, and against a placed member that is no longer probed
// because the lagging instance list misses it.
func TestProberFollowsAssignments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(0)
		ctx, cancel := context.WithCancel(context.Background())
		all := members(1)
		all[0].State = fleet.NodeLeaving
		b.board.Members.Publish(&blackboard.Members{All: all})
		go func() { _ = b.prober.Run(ctx) }()
		time.Sleep(5 * time.Second)
		g.Expect(b.source.Calls("a")).To(BeZero())
		b.board.Members.Publish(&blackboard.Members{All: members(1)})
		synctest.Wait()
		g.Expect(b.source.Calls("a")).To(Equal(1))
		b.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{
			"f": {Placement: fleet.Placement{Groups: []fleet.PlacedGroup{{Members: []fleet.GroupMember{{Instance: "a", Address: "a"}}}}}}}})
		b.list()
		time.Sleep(10 * time.Second)
		g.Expect(b.source.Calls("a")).To(BeNumerically("~", 11, 1))
		g.Expect(b.source.Calls("b")).To(BeNumerically("<=", 2))
		cancel()
	})
}

// Guards against a storm of extra probes when many requests find old evidence.
func TestRefreshSharesAndLimitsProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(100 * time.Millisecond)
		group := &fleet.PlacedGroup{Name: "g", Members: []fleet.GroupMember{{Instance: "a", Address: "a"}, {Instance: "b", Address: "b"}}}
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() { g.Expect(b.prober.Refresh(context.Background(), group)).To(Succeed()) })
		}
		all.Wait()
		g.Expect(b.source.Calls("a")).To(Equal(1))
		g.Expect(b.prober.Refresh(context.Background(), group)).To(Succeed())
		g.Expect(b.source.Calls("a")).To(Equal(1))
		b.source.Down("b")
		time.Sleep(3 * time.Second)
		var failed *health.RefreshError
		g.Expect(errors.As(b.prober.Refresh(context.Background(), group), &failed)).To(BeTrue())
		g.Expect(failed.Instance).To(Equal("b"))
		g.Expect(b.announcer.taken()).To(BeEmpty())
		time.Sleep(3 * time.Second)
		before := b.source.Calls("a") + b.source.Calls("b")
		for i := range 20 {
			other := *group
			other.Generation = fleet.Generation(i + 1)
			all.Go(func() { _ = b.prober.Refresh(context.Background(), &other) })
		}
		all.Wait()
		g.Expect(b.source.Calls("a") + b.source.Calls("b") - before).To(Equal(health.DefaultRefreshRate))
		time.Sleep(3 * time.Second)
		for range health.DefaultRefreshRate / 2 {
			g.Expect(b.prober.Refresh(context.Background(), group)).NotTo(MatchError(health.ErrProbeLimit))
		}
	})
}
