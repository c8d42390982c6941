package mesh

import "maps"

// maxWaiting bounds the waiting nodes that a sum names for each model, so that it
// fits into a datagram.
const maxWaiting = 60

// Sum is what several nodes do together.
type Sum struct {
	// Domains maps failure domains to their nodes that take requests.
	Domains map[string]uint16 `msgpack:"z"`
	// Use maps instances, by Key, to the requests there.
	Use map[uint32]Use `msgpack:"q"`
	// Demand maps models to the places that the requests would occupy.
	Demand map[string]float32 `msgpack:"d"`
	// Waiting maps models to the nodes, by Key, with requests that wait for a place.
	Waiting map[string][]uint32 `msgpack:"w"`
	// Suspects counts the nodes that found an instance, by Key, silent.
	Suspects map[uint32]uint16 `msgpack:"x"`
}

func newSum() *Sum {
	return &Sum{Domains: map[string]uint16{}, Use: map[uint32]Use{}, Demand: map[string]float32{},
		Waiting: map[string][]uint32{}, Suspects: map[uint32]uint16{}}
}

// nodes returns the number of nodes that take requests.
func (s *Sum) nodes() int {
	n := 0
	for _, count := range s.Domains {
		n += int(count)
	}
	return n
}

// addState adds what one node does.
func (s *Sum) addState(state *State) {
	s.Domains[state.Node.FailureDomain] += 0
	if state.Node.takesWork() {
		s.Domains[state.Node.FailureDomain]++
	}
	for instance, use := range state.Use {
		s.addUse(instance, use)
	}
	for model, places := range state.Demand {
		s.Demand[model] += places
	}
	for model, n := range state.Waiting {
		if n > 0 {
			s.addWaiting(model, Key(state.Node.Name))
		}
	}
	for _, instance := range state.Suspects {
		s.Suspects[instance]++
	}
}

// add adds another sum.
func (s *Sum) add(other *Sum) {
	for domain, n := range other.Domains {
		s.Domains[domain] += n
	}
	for instance, use := range other.Use {
		s.addUse(instance, use)
	}
	for model, places := range other.Demand {
		s.Demand[model] += places
	}
	for model, nodes := range other.Waiting {
		s.addWaiting(model, nodes...)
	}
	for instance, n := range other.Suspects {
		s.Suspects[instance] += n
	}
}

func (s *Sum) addUse(instance uint32, use Use) {
	old := s.Use[instance]
	s.Use[instance] = NewUse(old.Requests()+use.Requests(), old.Progress() || use.Progress())
}

func (s *Sum) addWaiting(model string, nodes ...uint32) {
	list := s.Waiting[model]
	s.Waiting[model] = append(list, nodes[:min(len(nodes), maxWaiting-len(list))]...)
}

// without returns a sum of the same nodes but one, whose state it contains. Events
// that arrive at that node alone still count as progress.
func (s *Sum) without(state *State) *Sum {
	rest := &Sum{Domains: maps.Clone(s.Domains), Use: maps.Clone(s.Use), Demand: maps.Clone(s.Demand),
		Waiting: maps.Clone(s.Waiting), Suspects: maps.Clone(s.Suspects)}
	if state.Node.takesWork() {
		rest.Domains[state.Node.FailureDomain]--
	}
	for instance, use := range state.Use {
		all := rest.Use[instance]
		if left := all.Requests() - use.Requests(); left > 0 {
			rest.Use[instance] = NewUse(left, all.Progress())
		} else {
			delete(rest.Use, instance)
		}
	}
	for model, places := range state.Demand {
		rest.Demand[model] = max(rest.Demand[model]-places, 0)
	}
	own := Key(state.Node.Name)
	for model, n := range state.Waiting {
		if n > 0 {
			rest.Waiting[model] = withoutKey(rest.Waiting[model], own)
		}
	}
	for _, instance := range state.Suspects {
		if rest.Suspects[instance]--; rest.Suspects[instance] == 0 {
			delete(rest.Suspects, instance)
		}
	}
	return rest
}

func withoutKey(list []uint32, key uint32) []uint32 {
	rest := make([]uint32, 0, len(list))
	for _, other := range list {
		if other != key {
			rest = append(rest, other)
		}
	}
	return rest
}
