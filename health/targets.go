package health

import (
	"slices"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// target is an instance to probe.
type target struct {
	instance string
	// address is the "IP:port".
	address string
	// plain is true for an instance of a plain service. Its report may lack the
	// instance.
	plain bool
}

// memberLocation holds the properties of a member that affect the choice of
// observers.
type memberLocation struct {
	node, failureDomain string
}

// assignment caches which instances this node observes. Ranking all members for
// each instance is expensive in a large system, and the blackboard changes with
// every heartbeat, so instances are assigned again only when the serving members
// have changed.
type assignment struct {
	// node is this node's name.
	node string
	// observers is the number of nodes that observe an instance.
	observers int
	// serving are the serving members for which assigned was computed.
	serving []memberLocation
	// assigned is true for the instances that this node observes, and false for
	// all others.
	assigned map[string]bool
}

// targets returns the instances that the node observes, among those in the pools
// of the configured services and the members of placed groups. A placed member
// is included even if the instance list lacks it, because the list lags and a
// member with fresh reports is not lost.
func (a *assignment) targets(board *blackboard.Board) map[string]target {
	config, members := board.Configuration.Load(), board.Members.Load()
	found := make(map[string]target)
	if config == nil || members == nil {
		return found
	}
	serving := members.Serving()
	locations := make([]memberLocation, len(serving))
	for i := range serving {
		locations[i] = memberLocation{serving[i].Node, serving[i].FailureDomain}
	}
	previous := a.assigned
	if !slices.Equal(locations, a.serving) {
		a.serving, previous = locations, nil
	}
	all := allTargets(config, board.Instances.Load(), board.Placements.Load())
	a.assigned = make(map[string]bool, len(all))
	for id, t := range all {
		assigned, known := previous[id]
		if !known {
			assigned = slices.Contains(Observers(id, serving, a.observers), a.node)
		}
		a.assigned[id] = assigned
		if assigned {
			found[id] = t
		}
	}
	return found
}

// allTargets returns the instances that the nodes together must observe.
func allTargets(c *fleet.Configuration, list *fleet.InstanceList, placements *blackboard.Placements) map[string]target {
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
