package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// Guards against closing groups of a model with long responses because its demand is
// measured only after the first responses have ended.
func TestDemandOfLongResponsesIsKnownAsSoonAsOfShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		long, short := Pool{Service: "long"}, Pool{Service: "short"}
		tables := NewTables()
		tables.Build((&catalog.Configuration{Services: []catalog.Service{{Name: "long"}, {Name: "short"}}}).Index(),
			engine.NewRoster([]*engine.Instance{{ID: "a", Service: "long", Slots: 100}, {ID: "b", Service: "short", Slots: 100}}))
		d := NewDispatcher(tables, &fakePeers{}, "z", newThrottle())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		send := func(p Pool, every, service time.Duration) {
			for ctx.Err() == nil {
				go func() {
					slot, err := d.Acquire(ctx, SlotRequest{Pool: p, GoalAt: time.Now().Add(time.Second), Until: time.Now().Add(time.Second)})
					g.Expect(err).NotTo(HaveOccurred())
					time.Sleep(service)
					slot.Release()
				}()
				time.Sleep(every)
			}
		}
		// Half of the long pool's responses are short, since its requests differ; both pools
		// occupy ten slots.
		go send(long, 400*time.Millisecond, 3600*time.Millisecond)
		go send(long, 400*time.Millisecond, 400*time.Millisecond)
		go send(short, 100*time.Millisecond, time.Second)
		time.Sleep(5 * time.Second)
		demand := d.Demand()
		cancel()
		time.Sleep(5 * time.Second)
		g.Expect(demand[short]).To(BeNumerically("~", 10, 2))
		g.Expect(demand[long]).To(BeNumerically("~", 10, 2))
	})
}

// Guards against too few groups of a model whose requests have long prompts and short
// responses: its groups are busy reading while half of their slots are free.
func TestDemandIncludesTheReadingOfPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		profile := &catalog.EngineProfile{Slots: 48, StepTime: 6450 * time.Microsecond, StepTimePerRequest: 97 * time.Microsecond,
			PrefillRate: 56_100, PrefillChunk: 2048, StepsPerEvent: 5, Models: []catalog.Model{{Name: "m", Size: 1, TimeFactor: 1}}}
		pool := Pool{Service: "llm", Model: "m"}
		tables := NewTables()
		tables.Build((&catalog.Configuration{Services: []catalog.Service{{Name: "llm", Engine: profile}}}).Index(),
			engine.NewRoster([]*engine.Instance{{ID: "a", Service: "llm", Model: "m", Membership: engine.Membership{Group: "g", Epoch: 1, Phase: engine.Open}}}))
		d := NewDispatcher(tables, &fakePeers{}, "z", newThrottle())
		const perSecond, prompt, events = 14, 1665, 20
		for range 5 * perSecond {
			go func() {
				slot, err := d.Acquire(context.Background(), SlotRequest{Pool: pool, PromptTokens: prompt, GoalAt: time.Now().Add(time.Second), Until: time.Now().Add(time.Second)})
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Second)
				d.RecordResponse(pool, events)
				slot.Release()
			}()
			time.Sleep(time.Second / perSecond)
		}
		// 14 prompts of 30 ms a second leave 580 ms for the steps of 14 responses, which take
		// 320 ms at a full batch: three quarters of the group's time.
		g.Expect(d.Demand()[pool]).To(BeNumerically("~", 0.75*48, 4))
		time.Sleep(2 * time.Second)
	})
}
