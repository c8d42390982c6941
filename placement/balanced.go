package placement

const (
	// eagerWeight is the downtime weight from which the balanced policy takes
	// instances from other services before it breaks up a broken group.
	eagerWeight = 0.5
	// spareWeight is the downtime weight from which the last free instance is
	// kept for repairs of more needed services.
	spareWeight = 0.75
	// spares is the number of free instances kept.
	spares = 1
)

// Balanced combines the other policies. DowntimeWeight, 0 to 1, weighs group
// downtime against stranded accelerators: a high weight replaces early and
// keeps a spare, a low one waits longer and breaks up broken groups, so that
// fewer instances stand in groups that cannot serve.
type Balanced struct {
	DowntimeWeight float64
}

// Name implements Policy.
func (Balanced) Name() string { return "balanced" }

// Decide implements Policy.
func (b Balanced) Decide(s *Situation, short *Shortage) Action {
	if !s.Due(short, b.patience()) {
		return waiting
	}
	if s.CanFill(short) {
		if b.mustKeepSpare(s, short) {
			return waiting
		}
		return Action{Kind: ActionFill}
	}
	if s.SupplyComing(short) {
		return waiting
	}
	first, second := mergeVictim, preemptVictim
	if b.DowntimeWeight >= eagerWeight {
		first, second = preemptVictim, mergeVictim
	}
	if action := first(s, short); action.Kind != ActionWait {
		return action
	}
	return second(s, short)
}

// patience scales the repair delay: half of it at weight 1, one and a half at
// weight 0.
func (b Balanced) patience() float64 {
	return 1.5 - min(max(b.DowntimeWeight, 0), 1)
}

// mustKeepSpare tells whether forming an unplaced group would use the last free
// instance although a more needed service in the domain may need it.
func (b Balanced) mustKeepSpare(s *Situation, short *Shortage) bool {
	return b.DowntimeWeight >= spareWeight && !short.Placed &&
		s.Free(short)-len(short.Vacant) < spares &&
		s.MoreNeeded(short)
}
