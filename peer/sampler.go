package peer

import "github.com/rattanlanding/rattanlanding/fleet"

// Sampler selects the members that a node polls in a periodic round.
type Sampler interface {
	// Sample returns the members to poll. others excludes this node.
	Sample(others []fleet.MemberView) []fleet.MemberView
}

// samplerFor returns the sampler for a number of members that includes this node.
func samplerFor(members, gossipPeers int) Sampler {
	if members <= FullMeshMembers {
		return everyPeer{}
	}
	return randomPeers{count: gossipPeers}
}
