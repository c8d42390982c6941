package prove

import (
	. "github.com/onsi/ginkgo/v2"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

var _ = Describe("CheckWholeGroup", func() {
	var b *historyBuilder
	BeforeEach(func() {
		b = &historyBuilder{}
		b.place(0, 2, placedGroup("g", 1, "a", "b"))
		b.role(1, "a", "g", 1, 0)
		b.role(1, "b", "g", 1, 1)
		b.fault(FaultFreezeEngine, "b", 10, 20)
	})

	It("accepts requests up to the bound and after the member is available again", func() {
		// Guards against a check that fails for a valid history.
		b.request(12.9, standin.EventArrive, "a", "x", "g", 1)
		b.request(20.1, standin.EventArrive, "a", "y", "g", 1)
		expectNoViolations(CheckWholeGroup(&b.History))
	})

	It("reports a request after the bound", func() {
		// Guards against a check that misses a violation of requirement R1.
		b.request(13.1, standin.EventArrive, "a", "x", "g", 1)
		expectViolation(CheckWholeGroup(&b.History), "although its member b was unavailable")
	})

	It("treats a killed member as unavailable until its engine has the role again", func() {
		// Guards against a check that takes an engine for available as soon as its
		// process has restarted.
		b.fault(FaultKillEngine, "b", 30, 31)
		b.role(31, "b", "", 0, 0)
		b.request(34, standin.EventArrive, "a", "x", "g", 1)
		expectViolation(CheckWholeGroup(&b.History), "although its member b was unavailable")
	})

	It("reports a request before the group was whole", func() {
		// Guards against a check that misses groups that serve while forming.
		b.place(30, 3, placedGroup("g", 2, "a", "c"))
		b.role(31, "a", "g", 2, 0)
		b.request(32, standin.EventArrive, "a", "x", "g", 2)
		expectViolation(CheckWholeGroup(&b.History), "before c was its rank 1")
	})

	It("takes a request that a suspended rank 0 reads on resuming as sent when it was suspended", func() {
		// Guards against a check that fails for a request that was sent in time but
		// read later.
		b.fault(FaultFreezeEngine, "a", 11, 19)
		b.request(19.1, standin.EventArrive, "a", "x", "g", 1)
		expectNoViolations(CheckWholeGroup(&b.History))
	})

	It("reports an answer that no whole group finished", func() {
		// Guards against a check that misses a complete answer from an incomplete group.
		b.request(2, standin.EventArrive, "a", "x", "g", 1)
		b.request(3, standin.EventEnd, "a", "x", "g", 1)
		b.Operations = []Operation{{
			Kind: OpCompletion, Organisation: "org", Prompt: "x", MaxTokens: 2, OK: true,
			Text: standin.Text("org", "x", 0, 2),
		}}
		expectViolation(CheckWholeGroup(&b.History), "no group with all its members finished it")
		b.step(2, 3, "b", "x", "g", 1)
		b.Events[len(b.Events)-1], b.Events[len(b.Events)-2] = b.Events[len(b.Events)-2], b.Events[len(b.Events)-1]
		expectNoViolations(CheckWholeGroup(&b.History))
	})

	It("reports a run in which no member was unavailable for longer than the bound", func() {
		// Guards against accepting a run that does not test the bound.
		b.Faults = []Fault{{Kind: FaultFreezeEngine, Target: "b", From: at(10), To: at(11)}}
		b.request(2, standin.EventArrive, "a", "x", "g", 1)
		expectViolation(CheckWholeGroup(&b.History), "no group member was unavailable")
	})
})
