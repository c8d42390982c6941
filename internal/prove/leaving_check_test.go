package prove

import (
	. "github.com/onsi/ginkgo/v2"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

var _ = Describe("CheckLeaving", func() {
	var b *historyBuilder
	BeforeEach(func() {
		b = &historyBuilder{}
		b.fault("leave", "a", 1, 10)
		b.request(0, standin.EventArrive, "a", "x", "g", 1)
		b.list(1, "a")
		b.list(2, "a", "c")
	})

	It("accepts new work up to the bound and after the server is listed as live again", func() {
		// Guards against a check that fails for a valid history.
		b.request(5.9, standin.EventArrive, "a", "y", "g", 1)
		b.list(10, "c")
		b.event(11, standin.Event{Kind: standin.EventCall, Instance: "a", Call: &standin.CallRecord{}})
		expectNoViolations(CheckLeaving(&b.History))
	})

	It("reports new work after the bound, counted from the first list that shows the server as leaving", func() {
		// Guards against a check that misses a violation of requirement R6.
		b.event(6.1, standin.Event{Kind: standin.EventCall, Instance: "a", Call: &standin.CallRecord{}})
		b.list(10)
		expectViolation(CheckLeaving(&b.History), "a got new work (call) while leaving")
	})

	It("reports an attempt that includes a leaving member after the bound", func() {
		// Guards against a check that misses a group that starts attempts with a
		// leaving member other than rank 0.
		b.step(6.1, 6.1, "a", "z", "g", 1)
		b.list(10)
		expectViolation(CheckLeaving(&b.History), "a got new work (step) while leaving")
	})

	It("reports a run in which no server with earlier work was leaving for longer than the bound", func() {
		// Guards against accepting a run that does not test the bound.
		b.list(3)
		expectViolation(CheckLeaving(&b.History), "no backend server with earlier work was leaving")
	})
})
