package prove

import (
	. "github.com/onsi/ginkgo/v2"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

var _ = Describe("CheckLeaving", func() {
	var s *script
	BeforeEach(func() {
		s = &script{}
		s.fault("leave", "a", 1, 10)
		s.request(0, standin.EventArrive, "a", "x", "g", 1)
		s.list(1, "a")
		s.list(2, "a", "c")
	})

	It("accepts work up to the bound and after the return", func() {
		// Guards against a check that is red without a violation.
		s.request(5.9, standin.EventArrive, "a", "y", "g", 1)
		s.list(10, "c")
		s.event(11, standin.Event{Kind: standin.EventCall, Instance: "a", Call: &standin.CallRecord{}})
		holds(CheckLeaving(&s.History))
	})

	It("is red for work after the bound, counted from the first list", func() {
		// Guards against passing over R6's violation.
		s.event(6.1, standin.Event{Kind: standin.EventCall, Instance: "a", Call: &standin.CallRecord{}})
		s.list(10)
		violates(CheckLeaving(&s.History), "a got new work (call) while leaving")
	})

	It("is red for an attempt that takes a leaving member in", func() {
		// Guards against groups that go on with a member that is not rank 0.
		s.step(6.1, 6.1, "a", "z", "g", 1)
		s.list(10)
		violates(CheckLeaving(&s.History), "a got new work (step) while leaving")
	})

	It("is red for a run in which no worker left for long", func() {
		// Guards against a run that proves nothing.
		s.list(3)
		violates(CheckLeaving(&s.History), "no backend server that had worked")
	})
})
