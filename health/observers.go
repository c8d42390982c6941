package health

import (
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/rendezvous"
)

// Observers returns the nodes that probe an instance: the serving members that
// come first by rendezvous hashing, each in another failure domain as far as
// there are enough domains. It returns at most count names.
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
