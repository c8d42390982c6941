package placement

// Wait forms unplaced groups from free instances and otherwise waits for lost
// members to come back. It replaces only members that cannot come back.
type Wait struct{}

// Name implements Policy.
func (Wait) Name() string { return "wait" }

// Decide implements Policy.
func (Wait) Decide(s *Situation, short *Shortage) Action {
	if (!short.Placed || short.Prompt) && s.CanFill(short) {
		return Action{Kind: ActionFill}
	}
	return waiting
}
