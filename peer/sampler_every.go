package peer

import "github.com/rattanlanding/rattanlanding/fleet"

// everyPeer asks all members, so that each statement needs one hop.
type everyPeer struct{}

// Sample implements Sampler.
func (everyPeer) Sample(others []fleet.MemberView) []fleet.MemberView { return others }
