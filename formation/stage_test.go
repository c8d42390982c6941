package formation_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
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

	It("divides the spare instances of a domain between its models", func() {
		// Guards against spares that can replace lost members of one model only.
		s := snapshot(group("g1", "large", "a", 6, engine.Open), group("g2", "small", "a", 3, engine.Open), idle("a", 2))
		large, small := profile.Models[0], profile.Models[1]
		large.Size, small.Size = 6, 3
		sized := *profile
		sized.Models = []catalog.Model{large, small}
		s.Profile = &sized
		s.BeforeTraffic, s.Loads, s.Demand = true, 1000, nil
		var staged []string
		for _, c := range formation.NewPlan(s).Commands {
			if c.Operation == engine.Stage && c.Group.Name == "" && strings.HasPrefix(c.Instance, "a-") {
				staged = append(staged, c.Model)
			}
		}
		Expect(staged).To(ConsistOf("large", "small"))
	})
})
