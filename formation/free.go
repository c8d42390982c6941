package formation

import (
	"time"

	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// adoptTime is how long a new holder leaves an unfinished group alone that it
	// didn't order itself: its orders may still be on their way.
	adoptTime = 2500 * time.Millisecond
	// joinSlack is added to the time that a join takes before it counts as lost: an
	// order may be unanswered and carried out after a second.
	joinSlack = 1500 * time.Millisecond
)

// free returns the instances that may join another group, by fabric domain.
func (s *Situation) free() domains {
	result := domains{}
	for _, in := range s.Instances {
		if !in.Leaving && !s.Ordered[in.ID] && s.released(in) {
			result[in.FabricDomain] = append(result[in.FabricDomain], in)
		}
	}
	return result
}

// released reports whether the instance has no group, or one that certainly runs
// nothing and never will. A head that isn't listed may still serve callers, so its
// members first have to leave. A head that is ready may open yet, by an order that
// is carried out late, so it has to leave before its members are used. One that is
// listed elsewhere has given its group up, and one that never joined opens nothing.
func (s *Situation) released(in *engine.Instance) bool {
	m := in.Membership
	if m.Group == "" || m.Phase == engine.Broken {
		return true
	}
	g := s.group(engine.GroupID{Name: m.Group, Epoch: m.Epoch})
	if head := g.Head(); head != nil {
		return head.Membership.Phase == engine.Broken
	}
	if last := s.LastHead[g.ID]; last != nil {
		return s.instance(last.ID) != nil
	}
	f, mine := s.Formed[g.ID]
	return mine && s.instance(f.Members[0]) != nil && s.abandoned(g)
}

// abandoned reports whether a group that isn't open will never become whole.
func (s *Situation) abandoned(g *engine.Group) bool {
	if s.mayBeLeft(g) {
		return true
	}
	f, mine := s.Formed[g.ID]
	if !mine {
		return !g.Whole(s.size(g)) && s.Now.Sub(s.SeenSince[g.ID]) >= adoptTime
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
	return !g.Whole(model.Size) && s.Now.Sub(f.At) >= s.joinTime(f)+joinSlack
}

// mayBeLeft reports whether a member may still be taken out of the group by a join
// with a higher epoch that is carried out late. For groups of an earlier holder,
// nobody knows.
func (s *Situation) mayBeLeft(g *engine.Group) bool {
	if g.ID.Epoch < s.FirstEpoch && s.Now.Sub(s.SeenSince[g.ID]) >= adoptTime {
		return true
	}
	for _, in := range g.Members {
		if s.Unanswered[in.ID] > g.ID.Epoch {
			return true
		}
	}
	return false
}

// joinTime is the longest time that the joins of a group may take.
func (s *Situation) joinTime(f Formation) time.Duration {
	model := s.Profile.Model(f.Model)
	if model == nil {
		return 0
	}
	if f.Loads == 0 {
		return model.WarmTime
	}
	// Loads beyond those that the weight store serves at once slow each other.
	return 2 * model.LoadTime
}
