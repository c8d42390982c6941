package engine_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/engine"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

// member returns an instance in group g of epoch 1.
func member(id string, rank int, phase engine.Phase) *engine.Instance {
	return &engine.Instance{ID: id, Service: "llm", FabricDomain: "d0", Model: "m",
		Membership: engine.Membership{Group: "g", Epoch: 1, Rank: rank, Phase: phase}}
}

var _ = Describe("Group", func() {
	It("is serving only while all members are ready and none is leaving", func() {
		// Guards against a request to an incomplete group.
		head, second := member("a", 0, engine.Open), member("b", 1, engine.Ready)
		group := func(list ...*engine.Instance) *engine.Group {
			return engine.NewRoster(list).Groups["llm"][0]
		}
		Expect(group(second, head).IsServing(2)).To(BeTrue())
		Expect(group(head).IsServing(2)).To(BeFalse())
		Expect(group(head, second).IsServing(3)).To(BeFalse())
		Expect(group(head, member("b", 1, engine.Joining)).IsServing(2)).To(BeFalse())
		Expect(group(member("a", 0, engine.Ready), second).IsServing(2)).To(BeFalse())
		leaving := member("b", 1, engine.Ready)
		leaving.Leaving = true
		Expect(group(head, leaving).IsServing(2)).To(BeFalse())
		other := member("b", 1, engine.Ready)
		other.Membership.Epoch = 2
		Expect(group(head, other).IsServing(2)).To(BeFalse())
		Expect(group(second).Head()).To(BeNil())
	})

	It("distinguishes members that are only unlisted from those that are leaving", func() {
		// Guards against closing a working group when a member has lost only its
		// connection to the platform's store.
		group := engine.NewRoster([]*engine.Instance{member("a", 0, engine.Open)}).Groups["llm"][0]
		Expect(group.MissingOnlyUnlisted(2)).To(BeTrue())
		Expect(group.MissingOnlyUnlisted(1)).To(BeFalse())
		leaving := member("b", 1, engine.Ready)
		leaving.Leaving = true
		group = engine.NewRoster([]*engine.Instance{member("a", 0, engine.Open), leaving}).Groups["llm"][0]
		Expect(group.MissingOnlyUnlisted(3)).To(BeFalse())
	})

	It("reports whether its members are in several domains", func() {
		// Guards against sending a slow group as many requests as a fast one.
		far := member("b", 1, engine.Ready)
		far.FabricDomain = "d1"
		Expect((&engine.Group{Members: []*engine.Instance{member("a", 0, engine.Open), far}}).SpansDomains()).To(BeTrue())
	})
})
