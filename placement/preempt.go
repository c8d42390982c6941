package placement

// Preempt replaces members like Replace. If there are too few free instances, it
// takes them from a group of a service with a lower priority that uses the same
// pool.
type Preempt struct{}

// Name implements Policy.
func (Preempt) Name() string { return "preempt" }

// Decide implements Policy.
func (Preempt) Decide(s *PlanState, short *Shortage) Action {
	if action := (Replace{}).Decide(s, short); action.Kind != ActionWait {
		return action
	}
	if !s.Due(short, 1) || s.SupplyPending(short) {
		return waitAction
	}
	return preemptVictim(s, short)
}

// preemptVictim picks a group to withdraw that frees enough instances: the
// lowest priority first, then the fewest usable members, then the name.
func preemptVictim(s *PlanState, short *Shortage) Action {
	victim, found := ActiveGroup{}, false
	for _, o := range s.ActiveGroups(short.Service.Pool) {
		if o.Priority >= short.Service.Priority || o.Usable+s.FreeCount(short) < len(short.Vacant) {
			continue
		}
		if !found || o.preemptedBefore(&victim) {
			victim, found = o, true
		}
	}
	if !found {
		return waitAction
	}
	return Action{Kind: ActionWithdraw, Victim: victim.Group}
}
