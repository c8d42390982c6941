package entry

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/mesh"
)

// Guards against requests that are passed on to nodes that can't send them either, and against
// traffic between failure domains without need.
func TestCarriersAreNodesThatReachTheServers(t *testing.T) {
	g := NewWithT(t)
	node := func(name, domain string, capacity uint16) *mesh.Node {
		return &mesh.Node{Name: name, PeerAddress: name, FailureDomain: domain, Capacity: capacity, Serving: true}
	}
	stranded, leaving, starting := node("stranded", "a", 90), node("leaving", "a", 90), node("starting", "a", 90)
	stranded.Stranded, leaving.Leaving, leaving.Serving, starting.Serving = true, true, false, false
	few := []*mesh.Node{stranded, leaving, starting, node("far", "b", 40), node("near", "a", 40)}
	g.Expect((&carriers{}).addresses("a", func() []*mesh.Node { return few })).To(Equal([]string{"near", "far", "leaving"}))

	g.Expect((&carriers{}).stranded("a", func() []*mesh.Node { return few })).To(Equal(1))

	// In a large deployment, the nodes to which no callers are sent don't know their links.
	many := []*mesh.Node{node("near", "a", 90), node("far", "b", 90)}
	for i := range maxFullList {
		many = append(many, node(fmt.Sprint("idle", i), "a", 1))
	}
	list := (&carriers{}).addresses("a", func() []*mesh.Node { return many })
	g.Expect(list).To(HaveLen(len(many)))
	g.Expect(list[:2]).To(Equal([]string{"near", "far"}))
}

// Guards against a holder of the lease that gives orders to engines that it doesn't reach.
func TestAStrandedNodeLeavesTheLeaseToOthers(t *testing.T) {
	g := NewWithT(t)
	for _, test := range []struct {
		own, other       bool
		ownMay, otherMay bool
	}{
		{false, false, true, true},
		{true, false, false, true},
		{false, true, true, false},
		{true, true, true, true},
	} {
		own, other := mayLead(test.own, []*mesh.Node{{Serving: true, Stranded: test.other}})
		g.Expect(own).To(Equal(test.ownMay))
		g.Expect(other(&mesh.Node{Stranded: test.other})).To(Equal(test.otherMay))
	}
}
