package forward

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// sizedModel returns a configuration with a model of the given size.
func sizedModel(size int) *catalog.Configuration {
	return (&catalog.Configuration{Services: []catalog.Service{{Name: "llm",
		Engine: &catalog.EngineProfile{Slots: 4, Models: []catalog.Model{{Name: "m", Size: size, TimeFactor: 1}}}}}}).Index()
}

// openGroup returns the members of an open group.
func openGroup(size int) []*engine.Instance {
	var members []*engine.Instance
	for rank := range size {
		phase := engine.Ready
		if rank == 0 {
			phase = engine.Open
		}
		members = append(members, &engine.Instance{ID: fmt.Sprint("i-", rank), Service: "llm", Slots: 4, FabricDomain: "f", Model: "m",
			Membership: engine.Membership{Group: "g", Epoch: 1, Rank: rank, Phase: phase}})
	}
	return members
}

// Guards against requests that begin in a group of an earlier size.
func TestGroupsOfAnEarlierSizeAreNoTargets(t *testing.T) {
	g := NewWithT(t)
	pool := Pool{Service: "llm", Model: "m"}
	tables := NewTables()
	tables.Build(sizedModel(2), engine.NewRoster(openGroup(2)))
	g.Expect(tables.Load().Targets(pool)).To(HaveLen(1))
	tables.Build(sizedModel(4), engine.NewRoster(openGroup(2)))
	g.Expect(tables.Load().Targets(pool)).To(BeEmpty())
	tables.Build(sizedModel(2), engine.NewRoster(openGroup(2)))
	g.Expect(tables.Load().Targets(pool)).To(HaveLen(1), "the change was taken back")
}

// Guards against a restarted node that takes a group of an earlier size for one with members
// that have lost only their connection to the store.
func TestGroupsNeverSeenCompleteAreNoTargets(t *testing.T) {
	g := NewWithT(t)
	pool := Pool{Service: "llm", Model: "m"}
	tables := NewTables()
	tables.Build(sizedModel(4), engine.NewRoster(openGroup(2)))
	g.Expect(tables.Load().Targets(pool)).To(BeEmpty())
	tables.Build(sizedModel(4), engine.NewRoster(openGroup(4)))
	tables.Build(sizedModel(4), engine.NewRoster(openGroup(4)[:3]))
	g.Expect(tables.Load().Targets(pool)).To(HaveLen(1))
	g.Expect(tables.Load().Targets(pool)[0].MemberUnlisted).To(BeTrue())
}
