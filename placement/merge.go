package placement

// Merge replaces like Replace and, when free instances are short, breaks up one
// broken group to make others of the same service whole.
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

// mergeVictim picks the broken group of the same service that lacks most
// members. Only a group that lacks fewer is worth completing, or one of equal
// lack with the smaller name, so that two groups never break up each other.
func mergeVictim(s *Situation, short *Shortage) Action {
	if !short.Placed {
		return waiting
	}
	victim, lack := "", 0
	for _, other := range s.Broken(short.Service.Name) {
		if other.Group.Name == short.Group.Name || len(other.Vacant) < len(short.Vacant) {
			continue
		}
		if len(other.Vacant) == len(short.Vacant) && other.Group.Name < short.Group.Name {
			continue
		}
		survivors := other.Group.Size - len(other.Vacant)
		if len(other.Vacant) > lack && survivors+s.Free(short) >= len(short.Vacant) {
			victim, lack = other.Group.Name, len(other.Vacant)
		}
	}
	if victim == "" {
		return waiting
	}
	return Action{Kind: ActionBreak, Victim: victim}
}
