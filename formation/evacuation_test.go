package formation_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/formation"
)

// inZone returns the instances with the given failure domain.
func inZone(zone string, lists ...[]*engine.Instance) []*engine.Instance {
	all := slices.Concat(lists...)
	for _, in := range all {
		in.FailureDomain = zone
	}
	return all
}

// settled makes a snapshot one of groups that were listed for a minute, with their heads.
func settled(s *formation.Snapshot) *formation.Snapshot {
	for _, g := range s.Groups {
		s.SeenSince[g.ID] = now.Add(-time.Minute)
		if head := g.Head(); head != nil {
			s.LastHead[g.ID] = head
		}
	}
	return s
}

var _ = Describe("A failure domain that is evacuated", func() {
	It("keeps its groups, which get no commands and count as no capacity", func() {
		// Guards against a domain that is empty when it returns, and against orders to its
		// instances.
		inside := inZone("a", group("g0", "large", "d0", 4, engine.Open), group("g1", "small", "d0", 2, engine.Ready), idle("d0", 9, "small"))
		outside := inZone("b", group("g2", "large", "d1", 4, engine.Open), idle("d1", 4, "large", "small"))
		s := settled(snapshot(inside, outside))
		s.Withdraw(engine.Evacuations{"a": engine.EvacuationInForce})
		p := formation.NewPlan(s)
		for _, command := range p.Commands {
			Expect(command.Instance).NotTo(HavePrefix("g0"))
			Expect(command.Instance).NotTo(HavePrefix("g1"))
			Expect(command.Instance).NotTo(HavePrefix("d0"))
		}
		for _, g := range p.Groups {
			for _, in := range g.Members {
				Expect(in.FailureDomain).To(Equal("b"))
			}
		}
		Expect(p.Groups).NotTo(BeEmpty(), "groups of the remaining instances")

		back := settled(snapshot(inside, outside))
		back.Withdraw(nil)
		Expect(operationsOf(formation.NewPlan(back))).NotTo(ContainElement(HavePrefix("close g0")))
	})

	It("gives up groups that span its border without breaking off their requests", func() {
		// Guards against streams that are cut although all members work, and against
		// instances outside that stay in a group that gets no requests.
		for _, headInside := range []bool{true, false} {
			members := group("g0", "large", "d0", 4, engine.Open)
			for _, in := range members {
				in.StagedModels = []string{"large", "small"}
			}
			inZone("a", members[:2])
			inZone("b", members[2:])
			evacuated := "a"
			if !headInside {
				evacuated = "b"
			}
			s := settled(snapshot(members))
			s.Withdraw(engine.Evacuations{evacuated: engine.EvacuationPending})
			p := formation.NewPlan(s)
			Expect(operationsOf(p)).To(Equal([]string{"close g0-0"}), "head inside: %v", headInside)
			Expect(p.Commands[0].AbortInFlight).To(BeFalse())

			members[0].Membership.Phase = engine.Ready
			s = settled(snapshot(members))
			s.Withdraw(engine.Evacuations{evacuated: engine.EvacuationPending})
			Expect(operationsOf(formation.NewPlan(s))).To(Equal([]string{"leave g0-0"}))

			head := members[0]
			head.Membership = engine.Membership{}
			s = snapshot(members)
			s.LastHead[engine.GroupID{Name: "g0", Epoch: 1}] = head
			s.Withdraw(engine.Evacuations{evacuated: engine.EvacuationPending})
			p = formation.NewPlan(s)
			for _, g := range p.Groups {
				for _, in := range g.Members {
					Expect(in.FailureDomain).NotTo(Equal(evacuated))
				}
			}
			Expect(p.Groups).To(HaveLen(1), "a small group of the members outside")
		}
	})

	It("leaves the rest divided by the demand of the models", func() {
		// The load is that of a model whose groups are mostly in the domain that is
		// evacuated: it gets groups of the other model's instances.
		var lists [][]*engine.Instance
		for i := range 4 {
			lists = append(lists, inZone("a", group(fmt.Sprint("l", i), "large", "d0", 4, engine.Open)))
		}
		for i := range 8 {
			list := inZone("b", group(fmt.Sprint("s", i), "small", "d1", 2, engine.Open))
			for _, in := range list {
				in.StagedModels = []string{"large", "small"}
			}
			lists = append(lists, list)
		}
		s := settled(snapshot(lists...))
		s.Demand = map[string]float64{"large": 40, "small": 30}
		Expect(formation.NewPlan(s).Reservations).To(BeEmpty(), "before")
		s = settled(snapshot(lists...))
		s.Demand = map[string]float64{"large": 40, "small": 30}
		s.Withdraw(engine.Evacuations{"a": engine.EvacuationPending})
		p := formation.NewPlan(s)
		Expect(p.Reservations).To(HaveLen(1))
		Expect(p.Reservations[0].Model).To(Equal("large"))
		for _, command := range p.Commands {
			Expect(strings.HasPrefix(command.Instance, "s")).To(BeTrue(), command.Instance)
		}
	})

	It("is withdrawn together with a second one", func() {
		// Guards against a second evacuation that replaces the first.
		s := settled(snapshot(inZone("a", group("g0", "large", "d0", 4, engine.Open)), inZone("b", group("g1", "large", "d1", 4, engine.Open)),
			inZone("c", idle("d2", 6, "large", "small"))))
		s.Withdraw(engine.Evacuations{"a": engine.EvacuationInForce, "b": engine.EvacuationPending, "nowhere": engine.EvacuationInForce})
		Expect(s.Instances).To(HaveLen(6))
		Expect(s.Groups).To(BeEmpty())
		Expect(formation.NewPlan(s).Groups).NotTo(BeEmpty())
	})
})
