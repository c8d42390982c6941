package placement

// Preempt replaces like Replace and, when free instances are short, takes them
// from a group of a service with a lower priority that uses the same pool.
type Preempt struct{}

// Name implements Policy.
func (Preempt) Name() string { return "preempt" }

// Decide implements Policy.
func (Preempt) Decide(s *Situation, short *Shortage) Action {
	if action := (Replace{}).Decide(s, short); action.Kind != ActionWait {
		return action
	}
	if !s.Due(short, 1) || s.SupplyComing(short) {
		return waiting
	}
	return preemptVictim(s, short)
}

// preemptVictim picks the least needed group that frees enough instances: the
// lowest priority first, then the smallest size, then the name.
func preemptVictim(s *Situation, short *Shortage) Action {
	victim, found := Occupant{}, false
	for _, o := range s.Occupants(short.Service.Pool) {
		if o.Priority >= short.Service.Priority || o.Usable+s.Free(short) < len(short.Vacant) {
			continue
		}
		if !found || o.lessNeeded(&victim) {
			victim, found = o, true
		}
	}
	if !found {
		return waiting
	}
	return Action{Kind: ActionBreak, Victim: victim.Group}
}
