package formation

import (
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// adoptionDelay is how long a new lease holder doesn't touch an incomplete group of
	// an earlier holder, whose commands may still be in flight.
	adoptionDelay = 2500 * time.Millisecond
	// joinSlack is added to the time that a join takes before it counts as lost: a
	// command may remain unanswered and be carried out after a second.
	joinSlack = 1500 * time.Millisecond
)

// free returns the instances that may join another group, by fabric domain.
func (s *Snapshot) free() instancesByDomain {
	result := instancesByDomain{}
	for _, in := range s.Instances {
		if !in.Leaving && !s.CommandPending[in.ID] && s.isFree(in) {
			result[in.FabricDomain] = append(result[in.FabricDomain], in)
		}
	}
	return result
}

// isFree reports whether the instance has no group, or a group that certainly runs no
// requests and never will. A head that isn't listed may still serve callers, so its
// members must leave first. A head that is ready may still open by a delayed command,
// so it must leave before its members are used. A head that is listed in another group
// or without one has left this group, and a head that never joined can't open it.
func (s *Snapshot) isFree(in *engine.Instance) bool {
	m := in.Membership
	if m.Group == "" {
		return !s.mayBeHead(in)
	}
	if m.Phase == engine.Broken {
		return true
	}
	g := s.group(engine.GroupID{Name: m.Group, Epoch: m.Epoch})
	if head := g.Head(); head != nil {
		return head.Membership.Phase == engine.Broken
	}
	if last := s.LastHead[g.ID]; last != nil {
		return s.instance(last.ID) != nil
	}
	f, formedHere := s.Formed[g.ID]
	return formedHere && s.instance(f.Members[0]) != nil && s.formationFailed(g)
}

// mayBeHead reports whether an instance that is listed without a group may be the head of one
// whose head isn't listed. A new lease holder that has never seen the newer entry of the
// instance can't tell that the one listed is an older one, which the store wrote late, until
// the instance writes its entry again.
func (s *Snapshot) mayBeHead(in *engine.Instance) bool {
	return slices.ContainsFunc(s.Groups, func(g *engine.Group) bool {
		_, formedHere := s.Formed[g.ID]
		if formedHere || g.Head() != nil || s.LastHead[g.ID] != nil || s.Now.Sub(s.SeenSince[g.ID]) >= adoptionDelay {
			return false
		}
		return slices.ContainsFunc(g.Members, func(m *engine.Instance) bool { return m.FabricDomain == in.FabricDomain })
	})
}

// formationFailed reports whether a group that isn't open will never become complete.
func (s *Snapshot) formationFailed(g *engine.Group) bool {
	if s.mayLoseMember(g) {
		return true
	}
	f, formedHere := s.Formed[g.ID]
	if !formedHere {
		return !g.IsComplete(s.size(g)) && s.Now.Sub(s.SeenSince[g.ID]) >= adoptionDelay
	}
	for _, id := range f.Members {
		in := s.instance(id)
		if in == nil || in.Leaving {
			return true
		}
	}
	model := s.Profile.Model(f.Model)
	if model == nil {
		return true
	}
	return !g.IsComplete(model.Size) && s.Now.Sub(f.At) >= s.maxJoinTime(f)+joinSlack
}

// mayLoseMember reports whether a member may still leave the group by a delayed join
// command with a higher epoch. For groups of an earlier lease holder this is unknown and
// assumed after adoptionDelay.
func (s *Snapshot) mayLoseMember(g *engine.Group) bool {
	if g.ID.Epoch < s.FirstEpoch && s.Now.Sub(s.SeenSince[g.ID]) >= adoptionDelay {
		return true
	}
	for _, in := range g.Members {
		if s.UnansweredEpochs[in.ID] > g.ID.Epoch {
			return true
		}
	}
	return false
}

// maxJoinTime returns the longest time that the joins of a group may take.
func (s *Snapshot) maxJoinTime(f FormedGroup) time.Duration {
	model := s.Profile.Model(f.Model)
	if model == nil {
		return 0
	}
	if f.Loads == 0 {
		return model.WarmTime
	}
	// Loads beyond those that the weight store serves concurrently slow each other down.
	return 2 * model.LoadTime
}
