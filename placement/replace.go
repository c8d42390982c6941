package placement

// Replace fills vacant ranks from the free instances of the fabric domain after
// the repair delay.
type Replace struct{}

// Name implements Policy.
func (Replace) Name() string { return "replace" }

// Decide implements Policy.
func (Replace) Decide(s *Situation, short *Shortage) Action {
	if s.Due(short, 1) && s.CanFill(short) {
		return Action{Kind: ActionFill}
	}
	return waiting
}
