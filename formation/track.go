package formation

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/engine"
)

// average follows the demand over some seconds; it is empty before the first
// request.
func (c *Controller) average() map[string]float64 {
	for model, n := range c.Demand() {
		old, known := c.demand[model]
		if !known {
			old = n
		}
		c.demand[model] = old + demandWeight*(n-old)
	}
	return c.demand
}

// settle drops orders whose effect is listed, and those that are too old.
func (c *Controller) settle(s *Situation) {
	for id, o := range c.ordered {
		in := s.instance(id)
		if s.Now.After(o.until) || (in != nil && o.effective(in)) {
			delete(c.ordered, id)
			continue
		}
		s.Ordered[id] = true
	}
}

// effective reports whether the list shows the effect of the order.
func (o *order) effective(in *engine.Instance) bool {
	m := in.Membership
	same := m.Group == o.Group.Name && m.Epoch == o.Group.Epoch
	switch o.Operation {
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

// trackGroups remembers heads and notes when they disappear.
func (c *Controller) trackGroups(s *Situation) {
	listed := map[engine.GroupID]bool{}
	for _, g := range s.Groups {
		listed[g.ID] = true
		if _, known := c.seen[g.ID]; !known {
			c.seen[g.ID] = s.Now
		}
		if head := g.Head(); head != nil {
			c.lastHead[g.ID] = head
			delete(c.headLost, g.ID)
		} else if _, known := c.headLost[g.ID]; !known && c.isHeadMissing(s, g) {
			c.headLost[g.ID] = s.Now
			_ = level.Warn(c.Logger).Log("msg", "head of a group is missing", "group", g.ID.Name, "epoch", g.ID.Epoch)
		}
	}
	for id := range c.seen {
		if !listed[id] {
			delete(c.seen, id)
			delete(c.headLost, id)
			delete(c.lastHead, id)
		}
	}
	for id, f := range c.formed {
		if !listed[id] && s.Now.Sub(f.At) > orderLifetime+joinSlack {
			delete(c.formed, id)
		}
	}
}

// isHeadMissing reports whether the head of a group without one is no longer
// listed. Members of a new group may be listed in it before the head is.
func (c *Controller) isHeadMissing(s *Situation, g *engine.Group) bool {
	if f, mine := c.formed[g.ID]; mine {
		return s.instance(f.Members[0]) == nil
	}
	if head := c.lastHead[g.ID]; head != nil {
		return s.instance(head.ID) == nil
	}
	return s.Now.Sub(c.seen[g.ID]) >= takeoverDelay
}

// staging is a load onto a host that was ordered.
type staging struct {
	model string
	until time.Time
}

// settleStaging drops loads that the list shows as done, and those that take so
// long that the order was lost.
func (c *Controller) settleStaging(s *Situation) {
	s.Staging = map[string]string{}
	for id, load := range c.staging {
		in := s.instance(id)
		if in == nil || slices.Contains(in.Staged, load.model) || s.Now.After(load.until) {
			delete(c.staging, id)
			continue
		}
		s.Staging[id] = load.model
	}
}

// loading counts the loads that are under way.
func (c *Controller) loading(s *Situation) int {
	n := len(c.staging)
	for _, in := range s.Instances {
		joining := in.Membership.Phase == engine.Joining && !slices.Contains(in.Staged, in.Model)
		if joining && c.staging[in.ID].model == "" {
			n++
		}
	}
	return n
}
