package prove

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("CheckGraceful", func() {
	history := func(change func(h *History)) *History {
		h := &History{Operations: []Operation{completionOp("p", "")}}
		for _, kind := range gracefulStops {
			h.Faults = append(h.Faults, Fault{Kind: kind, From: atMs(5), To: atMs(15)})
			h.Stops = append(h.Stops, Stop{Kind: kind, Clean: true})
		}
		change(h)
		return h
	}

	It("accepts planned stops without failed requests", func() {
		// Guards against a check that fails for a valid history.
		Expect(CheckGraceful(history(func(*History) {})).Violations).To(BeEmpty())
	})

	DescribeTable("reports a violation for", func(text string, change func(h *History)) {
		// Guards against a check that misses aborted or refused requests, or processes
		// that do not exit cleanly.
		Expect(CheckGraceful(history(change))).To(haveViolation(text))
	},
		Entry("an aborted request", "failed", func(h *History) { h.Operations[0].OK = false }),
		Entry("a refused request", "failed", func(h *History) { h.Operations[0] = asRefused(h.Operations[0]) }),
		Entry("an exit code other than 0", "did not end cleanly", func(h *History) { h.Stops[0].Clean = false }),
		Entry("a kind of planned stop that did not happen", "no planned stop", func(h *History) { h.Stops[0].Kind = "other" }),
		Entry("planned stops without requests in flight", "in flight", func(h *History) { h.Operations[0].Start, h.Operations[0].End = atMs(90), atMs(99) }),
	)
})
