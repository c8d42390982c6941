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

// site is what the choice of observers depends on in a member.
type site struct {
	node, failureDomain string
}

// assignment remembers which instances this node observes. Ranking all members
// for each instance is expensive in a large system, and the blackboard changes
// with every heartbeat, so the choice is made again only when the serving
// members changed.
type assignment struct {
	node      string
	observers int
	serving   []site
	mine      map[string]bool
}

// targets returns the instances that the node observes: those of the pools that
// services use, and every member of a placed group. Placed members count even
// when the instance list misses them, because the list lags and a member with
// fresh reports is not dead.
func (a *assignment) targets(board *blackboard.Board) map[string]target {
	config, members := board.Configuration.Load(), board.Members.Load()
	found := make(map[string]target)
	if config == nil || members == nil {
		return found
	}
	serving := members.Serving()
	sites := make([]site, len(serving))
	for i := range serving {
		sites[i] = site{serving[i].Node, serving[i].FailureDomain}
	}
	before := a.mine
	if !slices.Equal(sites, a.serving) {
		a.serving, before = sites, nil
	}
	all := candidates(config, board.Instances.Load(), board.Placements.Load())
	a.mine = make(map[string]bool, len(all))
	for id, t := range all {
		mine, known := before[id]
		if !known {
			mine = slices.Contains(Observers(id, serving, a.observers), a.node)
		}
		a.mine[id] = mine
		if mine {
			found[id] = t
		}
	}
	return found
}

// candidates returns all instances that some node must observe.
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
