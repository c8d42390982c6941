package prove

import (
	. "github.com/onsi/ginkgo/v2"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

var _ = Describe("CheckOneGroup", func() {
	var s *script
	BeforeEach(func() {
		s = &script{}
		s.fault("kill holder", "0", 1, 2)
		s.place(0, 2, placedGroup("g", 1, "a", "b"))
		s.role(1, "a", "g", 1, 0)
		s.role(1, "b", "g", 1, 1)
		s.request(2, standin.EventBegin, "a", "x", "g", 1)
		s.step(2, 3, "b", "x", "g", 1)
		s.request(3, standin.EventEnd, "a", "x", "g", 1)
	})

	It("accepts an instance that was idle between two groups", func() {
		// Guards against a check that is red without a violation.
		s.place(4, 2)
		s.role(5, "b", "", 0, 0)
		s.place(6, 3, placedGroup("h", 2, "b", "c"))
		s.role(7, "b", "h", 2, 0)
		s.request(8, standin.EventBegin, "b", "y", "h", 2)
		s.request(9, standin.EventEnd, "b", "y", "h", 2)
		holds(CheckOneGroup(&s.History))
	})

	It("is red for two groups that serve with one instance", func() {
		// Guards against passing over R2's violation.
		s.place(2.5, 3, placedGroup("h", 2, "b", "c"))
		s.request(2.5, standin.EventBegin, "b", "y", "h", 2)
		s.request(4, standin.EventEnd, "b", "y", "h", 2)
		violates(CheckOneGroup(&s.History), "b served for group")
	})

	It("is red for an engine taken over without having been idle", func() {
		// Guards against reuse on the command that was sent instead of the report.
		s.place(4, 2)
		s.place(5, 3, placedGroup("h", 2, "b", "c"))
		s.role(6, "b", "h", 2, 0)
		violates(CheckOneGroup(&s.History), "without being idle")
	})

	It("passes over an old holder's command", func() {
		// Guards against a violation found where an engine obeyed a late command.
		s.place(4, 2)
		s.role(5, "b", "", 0, 0)
		s.place(6, 3, placedGroup("h", 2, "b", "c"))
		s.role(7, "b", "h", 2, 0)
		s.role(8, "b", "g", 1, 1)
		s.role(9, "b", "h", 2, 0)
		holds(CheckOneGroup(&s.History))
	})

	It("is red for a placement that is not valid", func() {
		// Guards against an instance written into two groups of a domain.
		s.place(4, 4, placedGroup("g", 2, "a", "b"), placedGroup("h", 3, "b", "c"))
		violates(CheckOneGroup(&s.History), "instance b is in groups")
	})

	It("is red for an instance moved in one write, and for an old generation", func() {
		// Guards against placements that skip the release.
		s.place(4, 3, placedGroup("h", 2, "a", "b"))
		violates(CheckOneGroup(&s.History), "moves an instance between groups")
		s.place(5, 2, placedGroup("h", 1, "a", "b"))
		violates(CheckOneGroup(&s.History), "the next generation of placement/f went from 3 to 2")
	})

	It("is red for a request of a group that was never placed", func() {
		// Guards against groups that serve by a node's own decision.
		s.request(4, standin.EventBegin, "a", "y", "g", 9)
		violates(CheckOneGroup(&s.History), "ran a request of generation 9")
	})
})
