package prove

import (
	. "github.com/onsi/ginkgo/v2"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

var _ = Describe("CheckOneGroup", func() {
	var b *historyBuilder
	BeforeEach(func() {
		b = &historyBuilder{}
		b.fault("kill holder", "0", 1, 2)
		b.place(0, 2, placedGroup("g", 1, "a", "b"))
		b.role(1, "a", "g", 1, 0)
		b.role(1, "b", "g", 1, 1)
		b.request(2, standin.EventBegin, "a", "x", "g", 1)
		b.step(2, 3, "b", "x", "g", 1)
		b.request(3, standin.EventEnd, "a", "x", "g", 1)
	})

	It("accepts an instance that was idle between two groups", func() {
		// Guards against a check that fails for a valid history.
		b.place(4, 2)
		b.role(5, "b", "", 0, 0)
		b.place(6, 3, placedGroup("h", 2, "b", "c"))
		b.role(7, "b", "h", 2, 0)
		b.request(8, standin.EventBegin, "b", "y", "h", 2)
		b.request(9, standin.EventEnd, "b", "y", "h", 2)
		expectNoViolations(CheckOneGroup(&b.History))
	})

	It("reports two groups that serve with one instance at once", func() {
		// Guards against a check that misses a violation of requirement R2.
		b.place(2.5, 3, placedGroup("h", 2, "b", "c"))
		b.request(2.5, standin.EventBegin, "b", "y", "h", 2)
		b.request(4, standin.EventEnd, "b", "y", "h", 2)
		expectViolation(CheckOneGroup(&b.History), "b served for group")
	})

	It("reports an engine that changed groups without having been idle", func() {
		// Guards against reusing an engine once the command to leave its group was
		// sent, instead of once it has reported that it is idle.
		b.place(4, 2)
		b.place(5, 3, placedGroup("h", 2, "b", "c"))
		b.role(6, "b", "h", 2, 0)
		expectViolation(CheckOneGroup(&b.History), "without being idle")
	})

	It("accepts the role changes caused by a previous holder's stale command", func() {
		// Guards against a check that fails because an engine obeyed a stale command.
		b.place(4, 2)
		b.role(5, "b", "", 0, 0)
		b.place(6, 3, placedGroup("h", 2, "b", "c"))
		b.role(7, "b", "h", 2, 0)
		b.role(8, "b", "g", 1, 1)
		b.role(9, "b", "h", 2, 0)
		expectNoViolations(CheckOneGroup(&b.History))
	})

	It("reports a placement that is not valid", func() {
		// Guards against a check that misses an instance in two groups of a domain.
		b.place(4, 4, placedGroup("g", 2, "a", "b"), placedGroup("h", 3, "b", "c"))
		expectViolation(CheckOneGroup(&b.History), "instance b is in groups")
	})

	It("reports an instance moved in one write, and an old generation", func() {
		// Guards against a check that misses placements that move an instance without
		// releasing it, or reuse a generation.
		b.place(4, 3, placedGroup("h", 2, "a", "b"))
		expectViolation(CheckOneGroup(&b.History), "move an instance between groups")
		b.place(5, 2, placedGroup("h", 1, "a", "b"))
		expectViolation(CheckOneGroup(&b.History), "the next generation of placement/f went from 3 to 2")
	})

	It("reports a request of a group that was never placed", func() {
		// Guards against a check that misses a group that serves although it is in no
		// stored placement.
		b.request(4, standin.EventBegin, "a", "y", "g", 9)
		expectViolation(CheckOneGroup(&b.History), "ran a request of generation 9")
	})
})
