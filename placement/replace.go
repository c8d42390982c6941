package placement

// Replace fills vacant ranks from the free instances of the fabric domain once
// the repair delay is over.
type Replace struct{}

// Name implements Policy.
func (Replace) Name() string { return "replace" }

// Decide implements Policy.
func (Replace) Decide(s *PlanState, short *Shortage) Action {
	if s.Due(short, 1) && s.CanFill(short) {
		return Action{Kind: ActionFill}
	}
	return waitAction
}
