package mesh

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/untrusted"
	"github.com/rattanlanding/rattanlanding/object"
)

// earlierNode is a Node of a build without evacuations.
type earlierNode struct {
	Name                 string         `msgpack:"n"`
	Boot                 int64          `msgpack:"b"`
	Count                uint64         `msgpack:"c"`
	CallerAddress        string         `msgpack:"a"`
	PeerAddress          string         `msgpack:"p"`
	FailureDomain        string         `msgpack:"z"`
	Capacity             uint16         `msgpack:"y"`
	Serving              bool           `msgpack:"s"`
	Leaving              bool           `msgpack:"l"`
	ConfigurationVersion uint64         `msgpack:"v"`
	ListCursor           object.Version `msgpack:"r"`
}

type earlierMember struct {
	Node earlierNode `msgpack:"n"`
	Gone bool        `msgpack:"g"`
}

// Guards against nodes of different builds that drop each other's messages.
func TestNodesOfDifferentBuildsUnderstandEachOther(t *testing.T) {
	g := NewWithT(t)
	node := Node{Name: "node-1", Boot: 1e12, Count: 7, CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", FailureDomain: "a", Capacity: 80,
		Serving: true, ConfigurationVersion: 3, ListCursor: 99}
	earlier := earlierNode{Name: "node-1", Boot: 1e12, Count: 7, CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", FailureDomain: "a", Capacity: 80,
		Serving: true, ConfigurationVersion: 3, ListCursor: 99}
	without, err := marshal(Member{Node: node, Gone: true})
	g.Expect(err).NotTo(HaveOccurred())
	fromEarlier, err := marshal(earlierMember{earlier, true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(without).To(Equal(fromEarlier), "without evacuations nothing changes")

	node.EvacuationCursor, node.Stranded = 1<<48|12, true
	with, err := marshal(Member{Node: node, Gone: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(with)).To(BeNumerically("<=", maxMemberBytes))
	var atEarlier earlierMember
	g.Expect(untrusted.Unmarshal(with, &atEarlier)).To(Succeed())
	g.Expect(atEarlier).To(Equal(earlierMember{earlier, true}))
	var read Member
	g.Expect(untrusted.Unmarshal(with, &read)).To(Succeed())
	g.Expect(read).To(Equal(Member{Node: node, Gone: true}))
	g.Expect(untrusted.Unmarshal(fromEarlier, &read)).To(Succeed())
	node.EvacuationCursor, node.Stranded = 0, false
	g.Expect(read).To(Equal(Member{Node: node, Gone: true}))
}

// Guards against requests that are passed on to nodes that can't send them either (RECOVER).
func TestStrandedNodesAreNamed(t *testing.T) {
	g := NewWithT(t)
	for _, stranded := range []bool{true, false} {
		data, err := marshal(Member{Node: Node{Name: "n", Serving: true, Stranded: stranded}})
		g.Expect(err).NotTo(HaveOccurred())
		read := Member{Node: Node{Stranded: !stranded, EvacuationCursor: 3}}
		g.Expect(untrusted.Unmarshal(data, &read)).To(Succeed())
		g.Expect(read.Node.Stranded).To(Equal(stranded))
		g.Expect(read.Node.CanCarry()).To(Equal(!stranded))
	}
}

// Guards against a state that is encoded differently after a node with evacuations.
func TestStatesCarryTheEvacuationCursor(t *testing.T) {
	g := NewWithT(t)
	state := &State{Node: Node{Name: "n", EvacuationCursor: 5}, Load: map[uint32]Load{7: 1}, Demand: map[string]float32{"m": 2}}
	data, err := encodeState(state)
	g.Expect(err).NotTo(HaveOccurred())
	d, _, err := decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.State.Node.EvacuationCursor).To(Equal(object.Version(5)))
	g.Expect(d.State.Load).To(Equal(state.Load))
	parts, n, err := encodeSummary(Summary{From: Node{Name: "a"}, Sum: newSum(), Members: []Member{{Node: state.Node}, {Node: Node{Name: "b"}}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(2))
	d, _, err = decode(parts[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Summary.Members[0].Node.EvacuationCursor).To(Equal(object.Version(5)))
	g.Expect(d.Summary.Members[1].Node).To(Equal(Node{Name: "b"}))
}
