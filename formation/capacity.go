package formation

import (
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// capacity returns the throughput of a model's serving groups, in units of a group
// within one fabric domain.
func (s *Snapshot) capacity(m *catalog.Model) float64 {
	total := 0.0
	for _, g := range s.Groups {
		if g.Model == m.Name && g.IsServing(m.Size) {
			total += s.relativeCapacity(g)
		}
	}
	return total
}

// spanningGroups returns a model's serving groups over several fabric domains.
func (s *Snapshot) spanningGroups(m *catalog.Model) []*engine.Group {
	var list []*engine.Group
	for _, g := range s.Groups {
		if g.Model == m.Name && g.SpansDomains() && g.IsServing(m.Size) {
			list = append(list, g)
		}
	}
	return list
}

// localGroups returns the number of groups within one fabric domain that could be
// formed of the free instances and the members of a model's groups over several domains.
func (s *Snapshot) localGroups(free instancesByDomain, m *catalog.Model) int {
	usable := map[string]int{}
	for _, g := range s.spanningGroups(m) {
		for _, in := range g.Members {
			usable[in.FabricDomain]++
		}
	}
	for domain := range free {
		usable[domain] += len(withWeights(free[domain], m.Name))
	}
	groups := 0
	for _, n := range usable {
		groups += n / m.Size
	}
	return groups
}
