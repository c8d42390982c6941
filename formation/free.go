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
// nothing. A head that isn't listed may still serve callers, so its members first
// have to leave. One that is listed elsewhere has given its group up.
func (s *Situation) released(in *engine.Instance) bool {
	m := in.Membership
	if m.Group == "" || m.Phase == engine.Broken {
		return true
	}
	g := s.group(engine.GroupID{Name: m.Group, Epoch: m.Epoch})
	head := g.Head()
	if head == nil {
		last := s.LastHead[g.ID]
		return last != nil && s.instance(last.ID) != nil
	}
	switch head.Membership.Phase {
	case engine.Open, engine.Closing:
		return false
	case engine.Broken:
		return true
	}
	return s.abandoned(g) || s.givesUp(g.ID)
}

// abandoned reports whether a group that isn't open will never become whole.
func (s *Situation) abandoned(g *engine.Group) bool {
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
