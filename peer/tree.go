package peer

import (
	"cmp"
	"slices"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// relayFanout is the number of children of a node in the relay tree. 380 nodes
// are 4 levels below the root; a node sends what it knows to 5 children a round.
const relayFanout = 5

// subtree is a contiguous part of the relay order. Its first member is its top.
type subtree []fleet.MemberView

// relayOrder returns the members that take part in the relay tree, sorted by
// failure domain so that a subtree lies in few of them. All nodes with the same
// members have the same order. A suspect member takes no part, because everything
// below it would wait for it.
func relayOrder(members []fleet.MemberView) subtree {
	order := make(subtree, 0, len(members))
	for _, m := range members {
		if m.State != fleet.NodeSuspect {
			order = append(order, m)
		}
	}
	slices.SortFunc(order, func(a, b fleet.MemberView) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Node, b.Node))
	})
	return order
}

// position returns the index of a node, or -1.
func (s subtree) position(node string) int {
	return slices.IndexFunc(s, func(m fleet.MemberView) bool { return m.Node == node })
}

// below divides the members below the top into the subtrees of its children.
func (s subtree) below() []subtree {
	if len(s) < 2 {
		return nil
	}
	rest := s[1:]
	parts := min(relayFanout, len(rest))
	children := make([]subtree, parts)
	for i := range parts {
		children[i] = rest[i*len(rest)/parts : (i+1)*len(rest)/parts]
	}
	return children
}

// childrenOf returns the children of node in the tree whose top is root. In the
// place of a child that failed are its own children. A child comes after its
// parent in the order, so calls between nodes with different members form no
// cycle.
func (s subtree) childrenOf(node, root string, failed map[string]bool) []fleet.MemberView {
	top := s.position(root)
	if top < 0 {
		return nil
	}
	part := s[top:]
	for part != nil && part[0].Node != node {
		var next subtree
		for _, child := range part.below() {
			if child.position(node) >= 0 {
				next = child
			}
		}
		part = next
	}
	return part.tops(failed)
}

// tops returns the tops of the subtrees below s.
func (s subtree) tops(failed map[string]bool) []fleet.MemberView {
	var tops []fleet.MemberView
	for _, child := range s.below() {
		tops = append(tops, child[0])
		if failed[child[0].PeerAddress] {
			tops = append(tops, child.tops(failed)...)
		}
	}
	return tops
}
