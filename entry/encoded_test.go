package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
)

// Guards against a copy of a long answer for each of a hundred followers (sweep of
// maracas-hq-grown at 300 nodes: memory over the limit).
func TestSharesTheBytesOfAnAnswer(t *testing.T) {
	g := NewWithT(t)
	var answers encodedAnswers
	delta := follow.Delta{Cursor: 9, Events: make([]follow.Event, 1000)}
	first, err := answers.encode(answerKey{path: "p", after: 5, upTo: 9}, delta)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := answers.encode(answerKey{path: "p", after: 5, upTo: 9}, delta)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(&again[0]).To(BeIdenticalTo(&first[0]))
	for after := range object.Version(10) {
		_, err := answers.encode(answerKey{path: "p", after: after, upTo: 20}, follow.Delta{})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(answers.list).To(HaveLen(maxEncoded))
}

// Guards against all nodes that are behind asking one node, and against bytes between
// failure domains without need.
func TestDrawsANewerNode(t *testing.T) {
	g := NewWithT(t)
	view := &mesh.View{Live: []*mesh.Node{
		{Name: "a", FailureDomain: "z0", ListCursor: 7}, {Name: "b", FailureDomain: "z0", ListCursor: 8},
		{Name: "c", FailureDomain: "z0", ListCursor: 3}, {Name: "d", FailureDomain: "z1", ListCursor: 9},
	}}
	cursor := func(n *mesh.Node) object.Version { return n.ListCursor }
	drawn := map[string]bool{}
	for range 100 {
		drawn[newer(view, "z0", 5, cursor).Name] = true
	}
	g.Expect(drawn).To(Equal(map[string]bool{"a": true, "b": true}))
	g.Expect(newer(view, "z0", 8, cursor).Name).To(Equal("d"))
	g.Expect(newer(view, "z0", 9, cursor)).To(BeNil())
}
