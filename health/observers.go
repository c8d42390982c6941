package health

import (
	"slices"
	"strings"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Observers returns the nodes that probe an instance: the serving members that
// come first by rendezvous hashing, each in another failure domain as far as
// there are enough domains. It returns at most count names.
func Observers(instance string, members []fleet.MemberView, count int) []string {
	ranked := rank(instance, members)
	chosen := make([]string, 0, count)
	domains := make(map[string]bool, count)
	for _, m := range ranked {
		if len(chosen) < count && !domains[m.FailureDomain] {
			chosen = append(chosen, m.Node)
			domains[m.FailureDomain] = true
		}
	}
	for _, m := range ranked {
		if len(chosen) < count && !slices.Contains(chosen, m.Node) {
			chosen = append(chosen, m.Node)
		}
	}
	return chosen
}

// rank orders the serving members by falling rendezvous weight.
func rank(instance string, members []fleet.MemberView) []*fleet.Member {
	ranked := make([]*fleet.Member, 0, len(members))
	weights := make(map[string]uint64, len(members))
	for i := range members {
		m := &members[i].Member
		if m.State == fleet.NodeServing {
			ranked = append(ranked, m)
			weights[m.Node] = score(instance, m.Node)
		}
	}
	slices.SortFunc(ranked, func(a, b *fleet.Member) int {
		switch wa, wb := weights[a.Node], weights[b.Node]; {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		default:
			return strings.Compare(a.Node, b.Node)
		}
	})
	return ranked
}
