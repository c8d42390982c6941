package prove

import (
	. "github.com/onsi/ginkgo/v2"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

var _ = Describe("CheckWholeGroup", func() {
	var s *script
	BeforeEach(func() {
		s = &script{}
		s.place(0, 2, placedGroup("g", 1, "a", "b"))
		s.role(1, "a", "g", 1, 0)
		s.role(1, "b", "g", 1, 1)
		s.fault(FaultFreezeEngine, "b", 10, 20)
	})

	It("accepts requests up to the bound and after the member is back", func() {
		// Guards against a check that is red without a violation.
		s.request(12.9, standin.EventArrive, "a", "x", "g", 1)
		s.request(20.1, standin.EventArrive, "a", "y", "g", 1)
		holds(CheckWholeGroup(&s.History))
	})

	It("is red for a request after the bound", func() {
		// Guards against a check that passes over R1's violation.
		s.request(13.1, standin.EventArrive, "a", "x", "g", 1)
		violates(CheckWholeGroup(&s.History), "although b was gone")
	})

	It("counts a killed member as gone until its engine has the role again", func() {
		// Guards against taking the restart of a process for its return.
		s.fault(FaultKillEngine, "b", 30, 31)
		s.role(31, "b", "", 0, 0)
		s.request(34, standin.EventArrive, "a", "x", "g", 1)
		violates(CheckWholeGroup(&s.History), "although b was gone")
	})

	It("is red for a request before the group was whole", func() {
		// Guards against groups that serve while forming.
		s.place(30, 3, placedGroup("g", 2, "a", "c"))
		s.role(31, "a", "g", 2, 0)
		s.request(32, standin.EventArrive, "a", "x", "g", 2)
		violates(CheckWholeGroup(&s.History), "before c was its rank 1")
	})

	It("judges what a frozen rank 0 reads on waking by the time of its freeze", func() {
		// Guards against a violation found in a request that was sent in time.
		s.fault(FaultFreezeEngine, "a", 11, 19)
		s.request(19.1, standin.EventArrive, "a", "x", "g", 1)
		holds(CheckWholeGroup(&s.History))
	})

	It("is red for an answer that no whole group finished", func() {
		// Guards against whole answers of a broken group.
		s.request(2, standin.EventArrive, "a", "x", "g", 1)
		s.request(3, standin.EventEnd, "a", "x", "g", 1)
		s.Operations = []Operation{{
			Kind: OpCompletion, Organisation: "org", Prompt: "x", MaxTokens: 2, OK: true,
			Text: standin.Text("org", "x", 0, 2),
		}}
		violates(CheckWholeGroup(&s.History), "no whole group finished it")
		s.step(2, 3, "b", "x", "g", 1)
		s.Events[len(s.Events)-1], s.Events[len(s.Events)-2] = s.Events[len(s.Events)-2], s.Events[len(s.Events)-1]
		holds(CheckWholeGroup(&s.History))
	})

	It("is red for a run without a long loss", func() {
		// Guards against a run that proves nothing.
		s.Faults = []Fault{{Kind: FaultFreezeEngine, Target: "b", From: at(10), To: at(11)}}
		s.request(2, standin.EventArrive, "a", "x", "g", 1)
		violates(CheckWholeGroup(&s.History), "no member of a group was gone")
	})
})
