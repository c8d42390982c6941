package forward

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

var _ = Describe("A waiting request", func() {
	It("ends its wait as soon as it must not be sent", func() {
		// Guards against a request that waits although it is known to be refused.
		tables, pool := newTables(1, 1)
		d := NewDispatcher(tables, &fakePeers{}, "", newThrottle())
		var blocked blackboard.Section[bool]
		r := SlotRequest{Pool: pool, GoalAt: time.Now().Add(time.Second), Until: time.Now().Add(2 * time.Second),
			Blocked: func() (bool, <-chan struct{}) {
				changed := blocked.Changed()
				return blocked.Load() != nil && *blocked.Load(), changed
			}}
		_, err := d.Acquire(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		for i, value := range []bool{false, true} {
			time.AfterFunc(time.Duration(50*(i+1))*time.Millisecond, func() { blocked.Publish(&value) })
		}
		started := time.Now()
		_, err = d.Acquire(context.Background(), r)
		Expect(err).To(MatchError(ErrFull))
		Expect(time.Since(started)).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", time.Second)))
	})
})
