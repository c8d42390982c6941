package peer

import (
	"cmp"
	"slices"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// relayFanout is the maximum number of children of a node in the relay tree. With 380
// nodes, the tree has 4 levels below the root, and a node sends its state to at most 5
// children per round.
const relayFanout = 5

// subtree is a contiguous part of the relay order. Its first member is its root.
type subtree []fleet.MemberView

// relayOrder returns the members of the relay tree, sorted by failure domain so that a
// subtree spans few of them. Nodes with the same members compute the same order.
// Suspect members are excluded, because the subtree below one would wait for it.
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

// index returns the position of a node, or -1 if it is not in s.
func (s subtree) index(node string) int {
	return slices.IndexFunc(s, func(m fleet.MemberView) bool { return m.Node == node })
}

// childSubtrees divides the members below the root of s into the subtrees of its
// children.
func (s subtree) childSubtrees() []subtree {
	if len(s) < 2 {
		return nil
	}
	rest := s[1:]
	count := min(relayFanout, len(rest))
	children := make([]subtree, count)
	for i := range count {
		children[i] = rest[i*len(rest)/count : (i+1)*len(rest)/count]
	}
	return children
}

// childrenOf returns the children of node in the tree with the given root. If a child
// failed, its own children are returned as well. A child always follows its parent in
// the relay order, so calls between nodes that see different members form no cycle.
func (s subtree) childrenOf(node, root string, failed map[string]bool) []fleet.MemberView {
	start := s.index(root)
	if start < 0 {
		return nil
	}
	current := s[start:]
	for current != nil && current[0].Node != node {
		var next subtree
		for _, child := range current.childSubtrees() {
			if child.index(node) >= 0 {
				next = child
			}
		}
		current = next
	}
	return current.childRoots(failed)
}

// childRoots returns the roots of the subtrees below the root of s. The children of a
// failed node are included.
func (s subtree) childRoots(failed map[string]bool) []fleet.MemberView {
	var roots []fleet.MemberView
	for _, child := range s.childSubtrees() {
		roots = append(roots, child[0])
		if failed[child[0].PeerAddress] {
			roots = append(roots, child.childRoots(failed)...)
		}
	}
	return roots
}
