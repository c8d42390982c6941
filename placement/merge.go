package placement

import (
	"cmp"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Merge replaces like Replace and, when free instances are short, breaks up one
// broken group to make others of the same or a more needed service whole.
type Merge struct{}

// Name implements Policy.
func (Merge) Name() string { return "merge" }

// Decide implements Policy.
func (Merge) Decide(s *Situation, short *Shortage) Action {
	if action := (Replace{}).Decide(s, short); action.Kind != ActionWait {
		return action
	}
	if !s.Due(short, 1) || s.SupplyComing(short) {
		return waiting
	}
	return mergeVictim(s, short)
}

// mergeVictim picks a broken group that frees enough instances: the least
// needed service first, because a broken group serves nobody and breaking it up
// costs no downtime, then the group that lacks most members. A group of an
// equally needed service is broken up only if it runs the same service and lacks
// more, or as many with the larger name, so that two groups never break up each
// other.
func mergeVictim(s *Situation, short *Shortage) Action {
	// A withdrawn group gives its own instances up.
	if g := s.draft.next.Group(short.Group.Name); g == nil || g.Phase == fleet.PhaseWithdrawn {
		return waiting
	}
	var victim *Shortage
	broken := s.Broken(short.Service.Pool)
	for i := range broken {
		other := &broken[i]
		if !yields(other, short) || other.Group.Size-len(other.Vacant)+s.Free(short) < len(short.Vacant) {
			continue
		}
		if victim == nil || cmp.Or(cmp.Compare(other.Service.Priority, victim.Service.Priority),
			cmp.Compare(len(victim.Vacant), len(other.Vacant))) < 0 {
			victim = other
		}
	}
	if victim == nil {
		return waiting
	}
	return Action{Kind: ActionBreak, Victim: victim.Group.Name}
}

// yields tells whether a broken group may be broken up to complete short.
func yields(other, short *Shortage) bool {
	if other.Service.Name != short.Service.Name {
		return other.Service.Priority < short.Service.Priority
	}
	return cmp.Or(cmp.Compare(len(other.Vacant), len(short.Vacant)),
		cmp.Compare(other.Group.Name, short.Group.Name)) > 0
}
