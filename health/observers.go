package health

import (
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/rendezvous"
)

// Observers returns the names of the nodes that probe an instance: the first
// count serving members by rendezvous hashing, in different failure domains if
// there are enough. It returns fewer names if there are fewer serving members.
func Observers(instance string, members []fleet.MemberView, count int) []string {
	serving := make([]*fleet.Member, 0, len(members))
	for i := range members {
		if m := &members[i].Member; m.State == fleet.NodeServing {
			serving = append(serving, m)
		}
	}
	ranked := rendezvous.RankBy(instance, serving, func(m *fleet.Member) string { return m.Node })
	ranked = rendezvous.Spread(ranked, func(m *fleet.Member) string { return m.FailureDomain })
	chosen := make([]string, min(len(ranked), count))
	for i := range chosen {
		chosen[i] = ranked[i].Node
	}
	return chosen
}
