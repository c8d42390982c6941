package formation_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/formation"
)

var _ = Describe("NewPlan after a change of a model's size", func() {
	It("closes groups of an earlier size without cutting their requests", func() {
		// Guards against groups that keep serving after the size of their model increased.
		s := snapshot(group("g", "large", "d0", 2, engine.Open))
		s.Sizes.Observe(s.Groups, func(string) int { return 2 })
		s.Progress = func(string) bool { return true }
		p := formation.NewPlan(s)
		Expect(operationsOf(p)).To(Equal([]string{"close g-0"}))
		Expect(p.Commands[0].AbortInFlight).To(BeFalse())
		s = snapshot(group("g", "large", "d0", 2, engine.Open))
		s.Formed[engine.GroupID{Name: "g", Epoch: 1}] = formation.FormedGroup{Model: "large", Members: []string{"g-0", "g-1"}, At: now}
		s.Progress = func(string) bool { return true }
		Expect(operationsOf(formation.NewPlan(s))).To(Equal([]string{"close g-0"}))
	})
})
