package health

import (
	"slices"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// target is an instance to probe.
type target struct {
	instance string
	address  string
	plain    bool
}

// observed returns the instances that the node observes: those of the pools
// that services use, and every member of a placed group. Placed members count
// even when the instance list misses them, because the list lags and a member
// with fresh reports is not dead.
func observed(board *blackboard.Board, node string, observers int) map[string]target {
	config, members := board.Configuration.Load(), board.Members.Load()
	found := make(map[string]target)
	if config == nil || members == nil {
		return found
	}
	for id, t := range candidates(config, board.Instances.Load(), board.Placements.Load()) {
		if slices.Contains(Observers(id, members.All, observers), node) {
			found[id] = t
		}
	}
	return found
}

func candidates(c *fleet.Configuration, list *fleet.InstanceList, placements *blackboard.Placements) map[string]target {
	found := make(map[string]target)
	if placements != nil {
		for _, vp := range placements.ByDomain {
			for i := range vp.Placement.Groups {
				for _, m := range vp.Placement.Groups[i].Members {
					found[m.Instance] = target{instance: m.Instance, address: m.Address}
				}
			}
		}
	}
	if list == nil {
		return found
	}
	pools := make(map[string]fleet.Kind, len(c.Services))
	for i := range c.Services {
		pools[c.Services[i].Pool] = c.Services[i].Kind
	}
	for i := range list.Instances {
		e := &list.Instances[i]
		if kind, used := pools[e.Pool]; used {
			found[e.ID] = target{instance: e.ID, address: e.Address, plain: kind == fleet.KindPlain}
		}
	}
	return found
}
