package placement

// Wait forms unplaced groups from free instances and waits for lost members to
// come back. It replaces only members that will not come back.
type Wait struct{}

// Name implements Policy.
func (Wait) Name() string { return "wait" }

// Decide implements Policy.
func (Wait) Decide(s *PlanState, short *Shortage) Action {
	if (!short.Placed || short.Permanent) && s.CanFill(short) {
		return Action{Kind: ActionFill}
	}
	return waitAction
}
