package formation

import (
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// capacity returns the work of a model's serving groups, in groups within one fabric
// domain.
func (s *Situation) capacity(m *catalog.Model) float64 {
	total := 0.0
	for _, g := range s.Groups {
		if g.Model == m.Name && g.Serving(m.Size) {
			total += s.workOf(g)
		}
	}
	return total
}

// spanning returns a model's serving groups over several fabric domains.
func (s *Situation) spanning(m *catalog.Model) []*engine.Group {
	var list []*engine.Group
	for _, g := range s.Groups {
		if g.Model == m.Name && g.SpansDomains() && g.Serving(m.Size) {
			list = append(list, g)
		}
	}
	return list
}

// localGroups returns the number of groups within one fabric domain that the members
// of a model's groups over several domains and the free instances could form.
func (s *Situation) localGroups(free domains, m *catalog.Model) int {
	usable := map[string]int{}
	for _, g := range s.spanning(m) {
		for _, in := range g.Members {
			usable[in.FabricDomain]++
		}
	}
	for domain := range free {
		usable[domain] += len(warmOf(free[domain], m.Name))
	}
	groups := 0
	for _, n := range usable {
		groups += n / m.Size
	}
	return groups
}
