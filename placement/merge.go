package placement

import (
	"cmp"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Merge replaces members like Replace. If there are too few free instances, it
// withdraws one incomplete group to complete others of the same service or of a
// service with a higher priority.
type Merge struct{}

// Name implements Policy.
func (Merge) Name() string { return "merge" }

// Decide implements Policy.
func (Merge) Decide(s *PlanState, short *Shortage) Action {
	if action := (Replace{}).Decide(s, short); action.Kind != ActionWait {
		return action
	}
	if !s.Due(short, 1) || s.SupplyPending(short) {
		return waitAction
	}
	return mergeVictim(s, short)
}

// mergeVictim picks an incomplete group to withdraw that frees enough instances.
// It prefers the service with the lowest priority, because an incomplete group
// serves no requests and withdrawing it costs no downtime, and then the group
// that lacks the most members. A group of a service with the same priority is
// withdrawn only if it runs the same service and lacks more members, or as many
// and has the larger name, so that two groups never withdraw each other.
func mergeVictim(s *PlanState, short *Shortage) Action {
	// A group that is withdrawn itself takes no instances from others.
	if g := s.draft.next.Group(short.Group.Name); g == nil || g.Phase == fleet.PhaseWithdrawn {
		return waitAction
	}
	var victim *Shortage
	incomplete := s.Incomplete(short.Service.Pool)
	for i := range incomplete {
		other := &incomplete[i]
		if !mayBreakUp(other, short) || other.Group.Size-len(other.Vacant)+s.FreeCount(short) < len(short.Vacant) {
			continue
		}
		if victim == nil || cmp.Or(cmp.Compare(other.Service.Priority, victim.Service.Priority),
			cmp.Compare(len(victim.Vacant), len(other.Vacant))) < 0 {
			victim = other
		}
	}
	if victim == nil {
		return waitAction
	}
	return Action{Kind: ActionWithdraw, Victim: victim.Group.Name}
}

// mayBreakUp reports whether the incomplete group other may be withdrawn to
// complete short.
func mayBreakUp(other, short *Shortage) bool {
	if other.Service.Name != short.Service.Name {
		return other.Service.Priority < short.Service.Priority
	}
	return cmp.Or(cmp.Compare(len(other.Vacant), len(short.Vacant)),
		cmp.Compare(other.Group.Name, short.Group.Name)) > 0
}
