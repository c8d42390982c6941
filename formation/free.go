package formation

import (
	"time"

	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// stallMargin is added to the time after which a stalled head has certainly
	// broken, for clocks and messages.
	stallMargin = 500 * time.Millisecond
	// adoptTime is how long a new holder leaves an unfinished group alone that it
	// didn't order itself: its orders may still be on their way.
	adoptTime = 4 * time.Second
	// joinSlack is added to the time that a join takes before it counts as lost.
	joinSlack = 6 * time.Second
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

// released reports whether the instance's group, if it has one, certainly runs
// nothing.
func (s *Situation) released(in *engine.Instance) bool {
	m := in.Membership
	if s.Now.Before(s.UnsafeUntil[in.ID]) {
		return false
	}
	if m.Group == "" || m.Phase == engine.Broken {
		return true
	}
	g := s.group(engine.GroupID{Name: m.Group, Epoch: m.Epoch})
	head := g.Head()
	if head == nil {
		return s.headGone(g)
	}
	switch head.Membership.Phase {
	case engine.Open, engine.Closing:
		return false
	case engine.Broken:
		return true
	}
	return s.abandoned(g)
}

// headGone reports whether a head that isn't listed certainly runs nothing. It
// answers to heads that still serve callers while they are cut off from the
// store.
func (s *Situation) headGone(g *engine.Group) bool {
	loss, known := s.HeadLost[g.ID]
	switch {
	case !known:
		return false
	case loss.Refused:
		return true
	case loss.MembersLeftAt.IsZero():
		return false
	}
	return s.Now.Sub(loss.MembersLeftAt) >= s.StallTime+stallMargin
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
	// Loads beyond those that the weight store serves at once slow each other.
	return 2 * model.LoadTime
}
