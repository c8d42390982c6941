package engine

// Sizes remembers the number of members with which groups were listed as complete. A group
// that is listed with fewer members than its model requires may have lost some from the list
// only, or may have been formed before the required number increased.
type Sizes struct {
	complete map[GroupID]int
}

// Observe records the groups that are complete, and forgets those that aren't listed.
// required returns the number of members that a model requires.
func (s *Sizes) Observe(groups []*Group, required func(model string) int) {
	complete := make(map[GroupID]int, len(groups))
	for _, g := range groups {
		if size := required(g.Model); size > 0 && g.IsComplete(size) {
			complete[g.ID] = size
		} else if last := s.complete[g.ID]; last > 0 {
			complete[g.ID] = last
		}
	}
	s.complete = complete
}

// Of returns the number of members with which a group was last complete; 0 if it is unknown.
func (s *Sizes) Of(id GroupID) int { return s.complete[id] }
