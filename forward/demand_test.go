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
		d := NewDispatcher(tables, &fakePeers{}, "z")
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
