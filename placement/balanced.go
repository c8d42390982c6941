package placement

const (
	// eagerWeight is the downtime weight from which the balanced policy breaks up
	// a whole group of a less needed service. Below it, the accelerators that
	// stand idle meanwhile cost more than the more needed group's downtime.
	eagerWeight = 0.75
	// balancedPatience is the part of the repair delay after which the balanced
	// policy replaces, at every weight: waiting longer costs group downtime and
	// stranded accelerators alike, because the survivors stand idle meanwhile.
	balancedPatience = 0.5
)

// Balanced combines the other policies: it replaces lost members and merges
// broken groups. DowntimeWeight, 0 to 1, weighs group downtime against stranded
// accelerators: a high weight also takes the instances of less needed groups,
// which shortens the downtime of needed services and strands instances.
type Balanced struct {
	DowntimeWeight float64
}

// Name implements Policy.
func (Balanced) Name() string { return "balanced" }

// Decide implements Policy.
func (b Balanced) Decide(s *Situation, short *Shortage) Action {
	if !s.Due(short, balancedPatience) {
		return waiting
	}
	if s.CanFill(short) {
		return Action{Kind: ActionFill}
	}
	if s.SupplyComing(short) {
		return waiting
	}
	if b.DowntimeWeight >= eagerWeight {
		if action := preemptVictim(s, short); action.Kind != ActionWait {
			return action
		}
	}
	return mergeVictim(s, short)
}
