package forward

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Evenness", func() {
	It("compares the requests of targets by their slots", func() {
		e := evennessOf([]Candidate{
			{Requests: 15, Slots: 10}, {Requests: 10, Slots: 20}, {Requests: 10, Slots: 10},
			{Requests: 0, Slots: 10, Excluded: true}, {Requests: 1, Slots: 10, Throttled: true},
		})
		Expect(e.Targets).To(Equal(3))
		Expect(e.Fill).To(Equal(1.0))
		Expect(e.HighestFill).To(Equal(1.5))
		Expect(e.BusiestToMean).To(Equal(1.5))
		Expect(e.Spread).To(BeNumerically("~", 0.408, 0.001))
	})

	It("has no ratios without requests", func() {
		Expect(evennessOf([]Candidate{{Slots: 10}})).To(Equal(Evenness{Targets: 1}))
	})
})
