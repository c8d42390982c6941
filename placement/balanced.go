package placement

const (
	// preemptWeight is the lowest downtime weight at which the balanced policy
	// withdraws a complete group of a lower-priority service. Below it, the
	// accelerators that are idle meanwhile cost more than the higher-priority
	// group's downtime.
	preemptWeight = 0.75
	// balancedDelayFraction is the fraction of the repair delay after which the
	// balanced policy replaces members, at every weight: waiting longer costs
	// both group downtime and stranded accelerators, because the remaining
	// members are idle meanwhile.
	balancedDelayFraction = 0.5
)

// Balanced combines the other policies: it replaces lost members, merges
// incomplete groups and, at a high DowntimeWeight, preempts lower-priority
// groups.
type Balanced struct {
	// DowntimeWeight, 0 to 1, weighs group downtime against stranded
	// accelerators. A high weight also takes the instances of lower-priority
	// groups, which shortens the downtime of higher-priority services and
	// strands instances.
	DowntimeWeight float64
}

// Name implements Policy.
func (Balanced) Name() string { return "balanced" }

// Decide implements Policy.
func (b Balanced) Decide(s *PlanState, short *Shortage) Action {
	if !s.Due(short, balancedDelayFraction) {
		return waitAction
	}
	if s.CanFill(short) {
		return Action{Kind: ActionFill}
	}
	if s.SupplyPending(short) {
		return waitAction
	}
	if b.DowntimeWeight >= preemptWeight {
		if action := preemptVictim(s, short); action.Kind != ActionWait {
			return action
		}
	}
	return mergeVictim(s, short)
}
