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
		// Guards against losing all observers of an instance with one failure
		// domain.
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

	It("changes the observers only of the instances of a member that leaves", func() {
		// Guards against a change of membership that changes the observers of
		// all instances.
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

// Guards against an older report, relayed late, that makes an instance healthy
// again after its probe failed, and against a loss that is published only after
// the publication interval.
func TestLossRemovesOlderEvidenceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var section blackboard.Section[blackboard.Evidence]
		table := health.NewTable(health.TableConfig{}, &section)
		start := time.Now()
		time.Sleep(100 * time.Millisecond)
		table.Observe(observation("a", start))
		table.RecordLoss(blackboard.Loss{Instance: "a", At: start.Add(50 * time.Millisecond)})
		g.Expect(section.Load().ByInstance).To(BeEmpty())
		table.Observe(observation("a", start.Add(40*time.Millisecond)))
		g.Expect(table.Observations(time.Hour)).To(BeEmpty())
		table.Observe(observation("a", start.Add(60*time.Millisecond)))
		g.Expect(table.Observations(time.Hour)).To(HaveLen(1))
		// A loss that is relayed late must not remove newer evidence.
		table.RecordLoss(blackboard.Loss{Instance: "a", At: start.Add(55 * time.Millisecond)})
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

// Guards against a changed role that is published as late as renewed evidence,
// which would keep a complete group out of use, and against a publication for
// each renewal, which costs several percent of a core at 600 instances.
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

// recordingAnnouncer is a LossAnnouncer that records the batches.
type recordingAnnouncer struct {
	mu      sync.Mutex
	batches [][]blackboard.Loss
}

func (a *recordingAnnouncer) AnnounceLosses(losses []blackboard.Loss) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.batches = append(a.batches, losses)
}

func (a *recordingAnnouncer) announced() [][]blackboard.Loss {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.batches
}

// slowSource is a StatusSource that responds after a delay.
type slowSource struct {
	health.StatusSource
	delay time.Duration
}

func (s slowSource) Status(ctx context.Context, address string) (fleet.Report, error) {
	select {
	case <-time.After(s.delay):
		return s.StatusSource.Status(ctx, address)
	case <-ctx.Done():
		return fleet.Report{}, ctx.Err()
	}
}

// fixture is a prober on node-0, the only member, with two instances, a and b.
type fixture struct {
	board     blackboard.Board
	table     *health.Table
	source    health.FakeSource
	announcer recordingAnnouncer
	prober    *health.Prober
}

func newFixture(delay time.Duration) *fixture {
	f := &fixture{}
	f.board.Configuration.Publish(&fleet.Configuration{Services: []fleet.Service{{Name: "s", Kind: fleet.KindModel, Pool: "p"}}})
	f.publishList("a", "b")
	f.board.Members.Publish(&blackboard.Members{Self: "node-0", All: members(1)})
	f.table = health.NewTable(health.TableConfig{}, &f.board.Evidence)
	f.prober = health.NewProber(health.Config{Node: "node-0"}, &f.board, f.table,
		slowSource{&f.source, delay}, &f.announcer, log.NewNopLogger(), metrics.NewRegistry())
	for _, id := range []string{"a", "b"} {
		f.source.Set(id, fleet.Report{Instance: id, Boot: "1", State: fleet.EngineReady})
	}
	return f
}

func (f *fixture) publishList(ids ...string) {
	list := &fleet.InstanceList{}
	for _, id := range ids {
		list.Instances = append(list.Instances, fleet.Instance{ID: id, Address: id, Pool: "p", State: fleet.InstanceLive})
	}
	f.board.Instances.Publish(list)
}

// Guards against evidence that has the time of the response instead of that of
// the probe, against announcing the losses of a rack one by one, and against a
// loss that is announced on every probe, or not announced again after the
// instance returned.
func TestProberDatesEvidenceAndBatchesLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(300 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		started := time.Now()
		f.source.Down("a")
		f.source.Down("b")
		go func() { _ = f.prober.Run(ctx) }()
		time.Sleep(350 * time.Millisecond)
		g.Expect(f.announcer.announced()).To(HaveLen(1))
		g.Expect(f.announcer.announced()[0]).To(HaveLen(2))
		g.Expect(f.announcer.announced()[0][0].At).To(Equal(started))
		for _, id := range []string{"a", "b"} {
			f.source.Set(id, fleet.Report{Instance: id})
		}
		time.Sleep(2 * time.Second)
		o, ok := f.table.Get("a")
		g.Expect(ok).To(BeTrue())
		g.Expect(time.Since(o.ObservedAt)).To(BeNumerically(">=", 300*time.Millisecond))
		// An instance that stays down must not cost a call to every member each
		// second.
		announced := len(f.announcer.announced())
		f.source.Down("b")
		time.Sleep(10 * time.Second)
		g.Expect(f.announcer.announced()).To(HaveLen(announced + 1))
		f.source.Set("b", fleet.Report{Instance: "b"})
		time.Sleep(2 * time.Second)
		f.source.Down("b")
		time.Sleep(10 * time.Second)
		g.Expect(f.announcer.announced()).To(HaveLen(announced + 2))
		// The loss is announced again if another observer had a successful probe.
		f.table.Observe(observation("b", time.Now()))
		time.Sleep(2 * time.Second)
		g.Expect(f.announcer.announced()).To(HaveLen(announced + 3))
		// A report of another instance at the address is not evidence.
		f.source.Set("a", fleet.Report{Instance: "z"})
		time.Sleep(1500 * time.Millisecond)
		_, ok = f.table.Get("a")
		g.Expect(ok).To(BeFalse())
		cancel()
	})
}

// Guards against a first probe of a newly assigned instance only after the
// interval, and against a placed member that is no longer probed because the
// lagging instance list lacks it.
func TestProberFollowsAssignments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(0)
		ctx, cancel := context.WithCancel(context.Background())
		all := members(1)
		all[0].State = fleet.NodeLeaving
		f.board.Members.Publish(&blackboard.Members{All: all})
		go func() { _ = f.prober.Run(ctx) }()
		time.Sleep(5 * time.Second)
		g.Expect(f.source.Calls("a")).To(BeZero())
		f.board.Members.Publish(&blackboard.Members{All: members(1)})
		synctest.Wait()
		g.Expect(f.source.Calls("a")).To(Equal(1))
		f.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{
			"f": {Placement: fleet.Placement{Groups: []fleet.PlacedGroup{{Members: []fleet.GroupMember{{Instance: "a", Address: "a"}}}}}}}})
		f.publishList()
		time.Sleep(10 * time.Second)
		g.Expect(f.source.Calls("a")).To(BeNumerically("~", 11, 1))
		g.Expect(f.source.Calls("b")).To(BeNumerically("<=", 2))
		cancel()
	})
}

// Guards against a burst of probes when many requests find old evidence.
func TestRefreshSharesAndLimitsProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(100 * time.Millisecond)
		group := &fleet.PlacedGroup{Name: "g", Members: []fleet.GroupMember{{Instance: "a", Address: "a"}, {Instance: "b", Address: "b"}}}
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() { g.Expect(f.prober.Refresh(context.Background(), group)).To(Succeed()) })
		}
		all.Wait()
		g.Expect(f.source.Calls("a")).To(Equal(1))
		g.Expect(f.prober.Refresh(context.Background(), group)).To(Succeed())
		g.Expect(f.source.Calls("a")).To(Equal(1))
		f.source.Down("b")
		time.Sleep(3 * time.Second)
		var failed *health.RefreshError
		g.Expect(errors.As(f.prober.Refresh(context.Background(), group), &failed)).To(BeTrue())
		g.Expect(failed.Instance).To(Equal("b"))
		g.Expect(f.announcer.announced()).To(BeEmpty())
		time.Sleep(3 * time.Second)
		before := f.source.Calls("a") + f.source.Calls("b")
		for i := range 20 {
			other := *group
			other.Generation = fleet.Generation(i + 1)
			all.Go(func() { _ = f.prober.Refresh(context.Background(), &other) })
		}
		all.Wait()
		g.Expect(f.source.Calls("a") + f.source.Calls("b") - before).To(Equal(health.DefaultRefreshRate))
		time.Sleep(3 * time.Second)
		for range health.DefaultRefreshRate / 2 {
			g.Expect(f.prober.Refresh(context.Background(), group)).NotTo(MatchError(health.ErrProbeLimit))
		}
	})
}
