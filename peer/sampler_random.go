package peer

import (
	"math/rand/v2"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// randomPeers selects count members uniformly at random, which bounds the traffic of a
// node regardless of the number of members.
type randomPeers struct{ count int }

// Sample implements Sampler.
func (r randomPeers) Sample(others []fleet.MemberView) []fleet.MemberView {
	chosen := make([]fleet.MemberView, 0, r.count)
	for _, i := range rand.Perm(len(others)) {
		if len(chosen) == r.count {
			break
		}
		chosen = append(chosen, others[i])
	}
	return chosen
}
