package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
)

// Guards against memory use above the limit because a long response is encoded once for
// each of a hundred followers (seen in the sweep of maracas-hq-grown at 300 nodes).
func TestResponseCacheSharesBytes(t *testing.T) {
	g := NewWithT(t)
	var cache responseCache
	delta := follow.Delta{Cursor: 9, Events: make([]follow.Event, 1000)}
	first, err := cache.encode(responseKey{path: "p", after: 5, upTo: 9}, delta)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := cache.encode(responseKey{path: "p", after: 5, upTo: 9}, delta)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(&again[0]).To(BeIdenticalTo(&first[0]))
	for after := range object.Version(10) {
		_, err := cache.encode(responseKey{path: "p", after: after, upTo: 20}, follow.Delta{})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(cache.responses).To(HaveLen(maxCachedResponses))
}

// Guards against all nodes that are behind sending their requests to one node, and
// against unnecessary traffic between failure domains.
func TestPickNewer(t *testing.T) {
	g := NewWithT(t)
	view := &mesh.View{Live: []*mesh.Node{
		{Name: "a", FailureDomain: "z0", ListCursor: 7}, {Name: "b", FailureDomain: "z0", ListCursor: 8},
		{Name: "c", FailureDomain: "z0", ListCursor: 3}, {Name: "d", FailureDomain: "z1", ListCursor: 9},
	}}
	cursor := func(n *mesh.Node) object.Version { return n.ListCursor }
	picked := map[string]bool{}
	for range 100 {
		picked[pickNewer(view, "z0", 5, cursor).Name] = true
	}
	g.Expect(picked).To(Equal(map[string]bool{"a": true, "b": true}))
	g.Expect(pickNewer(view, "z0", 8, cursor).Name).To(Equal("d"))
	g.Expect(pickNewer(view, "z0", 9, cursor)).To(BeNil())
}
