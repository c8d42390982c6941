package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// zonedTables are tables of plain servers and groups whose members are in failure domains.
type zonedTables struct {
	*Tables
	configuration *catalog.Configuration
	instances     []*engine.Instance
}

// newZonedTables returns tables of one plain server in each of the domains a and b, and of a
// group in a, one in b and one over both.
func newZonedTables() *zonedTables {
	z := &zonedTables{Tables: NewTables(), configuration: (&catalog.Configuration{Services: []catalog.Service{{Name: "desk"}, {Name: "llm",
		Engine: &catalog.EngineProfile{Slots: 4, Models: []catalog.Model{{Name: "m", Size: 2, TimeFactor: 1}}}}}}).Index()}
	z.instances = []*engine.Instance{{ID: "desk-a", Service: "desk", FailureDomain: "a", Slots: 1}, {ID: "desk-b", Service: "desk", FailureDomain: "b", Slots: 1}}
	for name, domains := range map[string][2]string{"inside": {"a", "a"}, "outside": {"b", "b"}, "across": {"b", "a"}} {
		for rank, domain := range domains {
			phase := engine.Open
			if rank > 0 {
				phase = engine.Ready
			}
			z.instances = append(z.instances, &engine.Instance{ID: name + string(rune('0'+rank)), Service: "llm", FailureDomain: domain, FabricDomain: domain, Model: "m",
				Membership: engine.Membership{Group: name, Epoch: 1, Rank: rank, Phase: phase}})
		}
	}
	z.build(nil)
	return z
}

func (z *zonedTables) build(evacuations engine.Evacuations) {
	r := engine.NewRoster(z.instances)
	r.Evacuations = evacuations
	z.Build(z.configuration, r)
}

var (
	deskPool = Pool{Service: "desk"}
	llmPool  = Pool{Service: "llm", Model: "m"}
)

// Guards against requests to a group of which a member is evacuated, and to plain servers
// there (EVAC).
func TestTablesLeaveOutEvacuatedDomains(t *testing.T) {
	g := NewWithT(t)
	z := newZonedTables()
	ids := func() (all []string) {
		z.Load().Each(func(t *Target) { all = append(all, t.Instance.ID) })
		return all
	}
	g.Expect(ids()).To(ConsistOf("desk-a", "desk-b", "inside0", "outside0", "across0"))
	z.build(engine.Evacuations{"a": engine.EvacuationPending, "nowhere": engine.EvacuationInForce})
	g.Expect(ids()).To(HaveLen(5))
	for id, withdrawing := range map[string]bool{"desk-a": true, "desk-b": false, "inside0": true, "outside0": false, "across0": true} {
		g.Expect(z.Load().Target(id).Withdrawing).To(Equal(withdrawing), id)
	}
	load := z.Load().Target("inside0").Load
	z.build(engine.Evacuations{"a": engine.EvacuationInForce})
	g.Expect(ids()).To(ConsistOf("desk-b", "outside0"))
	g.Expect(z.Load().EvacuatedTargets()).To(Equal(3))
	z.build(engine.Evacuations{"a": engine.EvacuationInForce, "b": engine.EvacuationInForce})
	g.Expect(ids()).To(BeEmpty())
	z.build(engine.Evacuations{"b": engine.EvacuationInForce})
	g.Expect(z.Load().Target("inside0").Load).To(BeIdenticalTo(load), "requests in progress still count after the return")
}

// The load is that of a domain that is withdrawn while the others have free slots, and then
// while they are full.
func TestWithdrawingTargetsAreTheLastResort(t *testing.T) {
	g := NewWithT(t)
	z := newZonedTables()
	z.build(engine.Evacuations{"a": engine.EvacuationPending})
	d := NewDispatcher(z.Tables, &fakePeers{}, "a", newThrottle())
	request := SlotRequest{Pool: llmPool, GoalAt: time.Now().Add(time.Second), Until: time.Now().Add(time.Second)}
	for range 4 {
		slot, err := d.Acquire(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(slot.Instance.ID).To(Equal("outside0"))
	}
	slot, err := d.Acquire(context.Background(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(slot.Instance.ID).NotTo(Equal("outside0"), "no request waits while the domain may still be used")
}

// Guards against requests that wait until their deadline although no server can run them, and
// against streams that are cut although another group may soon go on with them.
func TestRequestsWithoutTargetAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZonedTables()
		d := NewDispatcher(z.Tables, &fakePeers{}, "a", newThrottle())
		request := func(begun bool) SlotRequest {
			return SlotRequest{Pool: deskPool, GoalAt: time.Now().Add(2 * time.Second), Until: time.Now().Add(4 * time.Second), Begun: begun}
		}
		for range 2 {
			_, err := d.Acquire(context.Background(), request(false))
			g.Expect(err).NotTo(HaveOccurred())
		}
		type outcome struct {
			err  error
			took time.Duration
		}
		acquire := func(begun bool) chan outcome {
			done := make(chan outcome, 1)
			go func() {
				started := time.Now()
				_, err := d.Acquire(context.Background(), request(begun))
				done <- outcome{err, time.Since(started)}
			}()
			return done
		}
		waiting, begun := acquire(false), acquire(true)
		time.Sleep(time.Second)
		z.build(engine.Evacuations{"a": engine.EvacuationInForce, "b": engine.EvacuationInForce})
		refused := <-waiting
		g.Expect(errors.Is(refused.err, errEvacuated)).To(BeTrue(), "%v", refused.err)
		g.Expect(refused.took).To(BeNumerically("<", 1100*time.Millisecond))
		refused = <-acquire(false)
		g.Expect(errors.Is(refused.err, errEvacuated)).To(BeTrue(), "%v", refused.err)
		g.Expect(refused.took).To(BeZero())
		z.build(nil)
		g.Expect((<-begun).took).To(BeNumerically(">=", time.Second))
		// The goroutine that rechecks the queue ends.
		time.Sleep(time.Second)
	})
}

// The load is that of a domain that returns cold in a burst: all other groups are full, and the
// permits for its groups expire unless they are used.
func TestPermitsForColdTargetsAreUsedUnderShortage(t *testing.T) {
	g := NewWithT(t)
	candidates := []Candidate{{Requests: 20, Slots: 20}, {Requests: 20, Slots: 20}, {Requests: 4, Slots: 20, Throttled: true, Cold: true, Permits: 1.2},
		{Requests: 1, Slots: 20, Throttled: true, Cold: true, Permits: 0.4}, {Requests: 2, Slots: 20, Throttled: true, Permits: 1}}
	chosen := func(unreported float64) map[int]bool {
		found := map[int]bool{}
		for range 500 {
			found[Choose(candidates, unreported, rand.IntN)] = true
		}
		return found
	}
	g.Expect(chosen(90)).To(Equal(map[int]bool{2: true, 4: true}), "the less loaded ones of the drawn and the cold")
	candidates[4].Excluded = true
	g.Expect(chosen(90)).To(Equal(map[int]bool{2: true}))
	candidates[2].Permits = 0
	g.Expect(chosen(90)).To(Equal(map[int]bool{0: true, 1: true}), "without permits")
}
