package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/engine"
)

// averageDemand updates and returns the exponential moving average of the demand by
// model, over some seconds. It is empty before the first request.
func (c *Controller) averageDemand() map[string]float64 {
	for model, n := range c.Demand() {
		old, found := c.demand[model]
		if !found {
			old = n
		}
		c.demand[model] = old + demandSmoothing*(n-old)
	}
	return c.demand
}

// prunePendingCommands drops commands whose effect is listed or that have expired, and
// marks the instances of the others in the snapshot.
func (c *Controller) prunePendingCommands(s *Snapshot) {
	for id, p := range c.pendingCommands {
		in := s.instance(id)
		if s.Now.After(p.until) || (in != nil && p.isListed(in)) {
			delete(c.pendingCommands, id)
			continue
		}
		s.CommandPending[id] = true
	}
}

// isListed reports whether the listed state of the instance shows the effect of the
// command.
func (p *pendingCommand) isListed(in *engine.Instance) bool {
	m := in.Membership
	same := m.Group == p.Group.Name && m.Epoch == p.Group.Epoch
	switch p.Operation {
	case engine.Join:
		return same
	case engine.OpenHead:
		return !same || m.Phase == engine.Open
	case engine.CloseHead:
		return !same || m.Phase != engine.Open
	case engine.Leave:
		return !same
	}
	return true
}

// trackGroups records the heads of the listed groups and when a head disappears, and
// drops the state of groups that aren't listed any more.
func (c *Controller) trackGroups(s *Snapshot) {
	listed := map[engine.GroupID]bool{}
	for _, g := range slices.Concat(s.Groups, s.BorderGroups) {
		listed[g.ID] = true
		if _, known := c.seenSince[g.ID]; !known {
			c.seenSince[g.ID] = s.Now
		}
		if head := g.Head(); head != nil {
			c.lastHead[g.ID] = head
			delete(c.headMissingSince, g.ID)
		} else if _, known := c.headMissingSince[g.ID]; !known && c.isHeadMissing(s, g) {
			c.headMissingSince[g.ID] = s.Now
			_ = level.Warn(c.Logger).Log("msg", "group head disappeared from the instance list; releasing its members", "group", g.ID.Name, "epoch", g.ID.Epoch)
		}
	}
	for id := range c.seenSince {
		if !listed[id] {
			delete(c.seenSince, id)
			delete(c.headMissingSince, id)
			delete(c.lastHead, id)
		}
	}
	for id, f := range c.formed {
		if !listed[id] && s.Now.Sub(f.At) > commandTimeout+joinSlack {
			delete(c.formed, id)
		}
	}
}

// loadedModel is the model that a start of an instance last had in memory.
type loadedModel struct {
	startedMs int64
	model     string
}

// withLoadedModels returns the instances, where those without a model in memory have the
// model of their last group. An instance that left its group no longer lists the model,
// but joins another group of it at once.
func (c *Controller) withLoadedModels(instances []*engine.Instance) []*engine.Instance {
	listed := map[string]bool{}
	result := slices.Clone(instances)
	for i, in := range instances {
		listed[in.ID] = true
		last := c.loadedModels[in.ID]
		switch {
		case in.Model != "":
			c.loadedModels[in.ID] = loadedModel{in.StartedMs, in.Model}
		case last.startedMs != in.StartedMs:
			delete(c.loadedModels, in.ID)
		case last.model != "" && in.Membership.Group == "":
			loaded := *in
			loaded.Model = last.model
			result[i] = &loaded
		}
	}
	maps.DeleteFunc(c.loadedModels, func(id string, _ loadedModel) bool { return !listed[id] })
	return result
}

// isHeadMissing reports whether the head of a group that is listed without one has
// disappeared. Members of a new group may be listed before its head is.
func (c *Controller) isHeadMissing(s *Snapshot, g *engine.Group) bool {
	if f, formedHere := c.formed[g.ID]; formedHere {
		return s.instance(f.Members[0]) == nil
	}
	if head := c.lastHead[g.ID]; head != nil {
		return s.instance(head.ID) == nil
	}
	return s.Now.Sub(c.seenSince[g.ID]) >= takeoverDelay
}

// pendingLoad is a commanded load onto a host that isn't listed yet.
type pendingLoad struct {
	model string
	until time.Time
}

// prunePendingLoads drops loads that the instance list shows as done, and those that
// take so long that the command must have been lost.
func (c *Controller) prunePendingLoads(s *Snapshot) {
	s.Staging = map[string]string{}
	for id, load := range c.pendingLoads {
		in := s.instance(id)
		if in == nil || slices.Contains(in.StagedModels, load.model) || s.Now.After(load.until) {
			delete(c.pendingLoads, id)
			continue
		}
		s.Staging[id] = load.model
	}
}

// loadsInProgress returns the number of loads in progress: those onto hosts and those
// of members that joined a group without the weights.
func (c *Controller) loadsInProgress(s *Snapshot) int {
	n := len(c.pendingLoads)
	for _, in := range slices.Concat(s.Instances, s.Evacuated) {
		joining := in.Membership.Phase == engine.Joining && !slices.Contains(in.StagedModels, in.Model)
		if joining && c.pendingLoads[in.ID].model == "" {
			n++
		}
	}
	return n
}
