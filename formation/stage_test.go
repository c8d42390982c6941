package formation_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/formation"
)

var _ = Describe("NewPlan before the first traffic", func() {
	It("loads weights onto spare instances, for the groups of their domain", func() {
		// Guards against lost members that are replaced only after a load, while instances
		// that no group can use have no weights.
		s := snapshot(group("g1", "large", "a", 4, engine.Open), group("g2", "small", "a", 2, engine.Open), idle("a", 1),
			group("g3", "small", "b", 2, engine.Open), idle("b", 1), idle("c", 1))
		s.BeforeTraffic, s.Loads, s.Demand = true, 1000, nil
		staged := map[string]string{}
		for _, c := range formation.NewPlan(s).Commands {
			if c.Operation == engine.Stage {
				staged[c.Instance] = c.Model
			}
		}
		Expect(staged).To(HaveKeyWithValue("a-0[]", "large"))
		Expect(staged).To(HaveKeyWithValue("b-0[]", "small"))
		Expect(staged).NotTo(HaveKey("c-0[]"))
	})
})
