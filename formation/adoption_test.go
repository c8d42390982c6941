package formation_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/formation"
)

var _ = Describe("NewPlan of a new lease holder", func() {
	It("keeps instances that may be the head of a group until a new holder has seen their next entry", func() {
		// Guards against an open head that joins another group because an older entry, which
		// the store wrote late, is the only one that a new holder has seen of it (TWO).
		members := group("g", "large", "d0", 4, engine.Open)
		members[0].Membership = engine.Membership{}
		id := engine.GroupID{Name: "g", Epoch: 1}
		usesHead := func(age time.Duration, lastHead *engine.Instance) bool {
			s := snapshot(members, idle("d0", 3, "large"))
			s.SeenSince[id] = now.Add(-age)
			if lastHead != nil {
				s.LastHead[id] = lastHead
			}
			return slices.ContainsFunc(formation.NewPlan(s).Groups, func(g formation.PlannedGroup) bool {
				return slices.Contains(g.Members, members[0])
			})
		}
		Expect(usesHead(1200*time.Millisecond, nil)).To(BeFalse())
		Expect(usesHead(2500*time.Millisecond, nil)).To(BeTrue())
		Expect(usesHead(0, members[0])).To(BeTrue(), "this holder has seen the head in the group: it has left")
	})
})
