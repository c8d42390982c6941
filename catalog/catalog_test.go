package catalog_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

var _ = Describe("Configuration", func() {
	c := (&catalog.Configuration{
		Routes: []catalog.Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/"},
			{Name: "long", Host: "A.example", PathPrefix: "/x/y/"},
			{Name: "other", Host: "b.example", PathPrefix: "/x/"},
		},
		Organisations: []catalog.Organisation{{Name: "lodge", Keys: []string{"k1", "k2"}}},
	}).Index()

	DescribeTable("matches the route of the host with the longest prefix of the path",
		func(host, path, name string) {
			// Guards against a request to a nested path that is answered by the service of the
			// outer one.
			route := c.Route(host, path)
			if name == "" {
				Expect(route).To(BeNil())
				return
			}
			Expect(route.Name).To(Equal(name))
		},
		Entry("nested", "a.example", "/x/y/z", "long"),
		Entry("outer", "a.example", "/x/z", "short"),
		Entry("a port and another case", "A.EXAMPLE:80", "/x/y/", "long"),
		Entry("no slash after the prefix", "a.example", "/xy", ""),
		Entry("escaped slash", "a.example", "/x%2Fy/", ""),
		Entry("unknown host", "c.example", "/x/", ""),
	)

	It("finds the organisation that owns a key", func() {
		// Guards against a request that is accounted to another organisation.
		Expect(c.OrganisationByKey("k2").Name).To(Equal("lodge"))
		Expect(c.OrganisationByKey("k3")).To(BeNil())
		Expect(c.OrganisationByKey("")).To(BeNil())
	})

	It("reports services with a route whose requests run at most once as not repeatable", func() {
		// Guards against aborting requests that can't be sent again.
		c := (&catalog.Configuration{Routes: []catalog.Route{
			{Kind: catalog.Streaming, Resumable: true, Targets: []catalog.Target{{Service: "a"}, {Service: "b"}}},
			{Kind: catalog.Streaming, Targets: []catalog.Target{{Service: "b"}}},
			{Kind: catalog.Safe, Targets: []catalog.Target{{Service: "a"}}},
		}}).Index()
		Expect(c.Repeatable("a")).To(BeTrue())
		Expect(c.Repeatable("b")).To(BeFalse())
	})

	It("distributes requests to targets by weight", func() {
		// Guards against a target that receives no requests or all of them.
		r := catalog.Route{Targets: []catalog.Target{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
		counts := map[string]int{}
		for range 2000 {
			counts[r.PickTarget()]++
		}
		Expect(counts["a"]).To(BeNumerically("~", 1800, 120))
		Expect((&catalog.Route{}).PickTarget()).To(BeEmpty())
	})
})

var _ = Describe("EngineProfile", func() {
	It("computes the usual and the longest gap between events", func() {
		// Guards against a step in which prompts are read being taken for a stall.
		p := catalog.EngineProfile{Slots: 17, StepTime: 8 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond,
			StepsPerEvent: 5, PrefillRate: 50_000, PrefillChunk: 2000}
		usual, longest := p.EventGap()
		Expect(usual).To(Equal(48500 * time.Microsecond))
		Expect(longest).To(Equal(usual + 200*time.Millisecond))
	})
})
