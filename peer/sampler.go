package peer

import "github.com/rattanlanding/rattanlanding/fleet"

// Sampler chooses the members that a node asks in a periodic round.
type Sampler interface {
	// Sample returns the members to ask. others excludes this node.
	Sample(others []fleet.MemberView) []fleet.MemberView
}

// samplerFor returns the policy for a number of members, this node included.
func samplerFor(members, gossipPeers int) Sampler {
	if members <= FullMeshMembers {
		return everyPeer{}
	}
	return randomPeers{count: gossipPeers}
}
