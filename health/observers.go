package health

import (
	"cmp"
	"slices"

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

// candidate is a serving member with its rendezvous weight.
type candidate struct {
	*fleet.Member
	weight uint64
}

// rank orders the serving members by falling rendezvous weight.
func rank(instance string, members []fleet.MemberView) []candidate {
	ranked := make([]candidate, 0, len(members))
	for i := range members {
		if m := &members[i].Member; m.State == fleet.NodeServing {
			ranked = append(ranked, candidate{m, score(instance, m.Node)})
		}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Node, b.Node))
	})
	return ranked
}
