package prove

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("CheckGraceful", func() {
	history := func(change func(h *History)) *History {
		h := &History{Operations: []Operation{completed("p", "")}}
		for _, kind := range gracefulStops {
			h.Faults = append(h.Faults, Fault{Kind: kind, From: atMs(5), To: atMs(15)})
			h.Stops = append(h.Stops, Stop{Kind: kind, Clean: true})
		}
		change(h)
		return h
	}

	It("accepts stops that no caller noticed", func() {
		// Guards against a check that is red whatever happens.
		Expect(CheckGraceful(history(func(*History) {})).Problems).To(BeEmpty())
	})

	DescribeTable("finds", func(text string, change func(h *History)) {
		// Guards against cut requests, refusals and unclean ends that go unseen.
		Expect(CheckGraceful(history(change))).To(problem(text))
	},
		Entry("a cut request", "failed", func(h *History) { h.Operations[0].OK = false }),
		Entry("a refused request", "failed", func(h *History) { h.Operations[0] = refused(h.Operations[0]) }),
		Entry("an exit code other than 0", "did not end cleanly", func(h *History) { h.Stops[0].Clean = false }),
		Entry("a kind of stop that was not made", "no planned stop", func(h *History) { h.Stops[0].Kind = "other" }),
		Entry("stops without load", "in flight", func(h *History) { h.Operations[0].Start, h.Operations[0].End = atMs(90), atMs(99) }),
	)
})
