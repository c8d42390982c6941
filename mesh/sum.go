package mesh

import (
	"maps"

	"github.com/rattanlanding/rattanlanding/suspicion"
)

// maxWaiting limits the waiting nodes that a sum lists for each model, so that it
// fits into a datagram.
const maxWaiting = 60

// Sum aggregates the states of several nodes.
type Sum struct {
	// Domains maps failure domains to the number of their nodes that accept requests.
	Domains map[string]uint16 `msgpack:"z"`
	// Load maps instances, by Key, to the load of all nodes on them.
	Load map[uint32]Load `msgpack:"q"`
	// Demand maps models to the slots that the requests would occupy, and arrival keys to
	// the requests that arrive per second.
	Demand map[string]float32 `msgpack:"d"`
	// Waiting maps models to the nodes, by Key, with requests that wait for a slot.
	Waiting map[string][]uint32 `msgpack:"w"`
	// Suspects maps instances, by Key, to what all nodes have seen them fail and answer.
	Suspects map[uint32]suspicion.Report `msgpack:"x"`
}

func newSum() *Sum {
	return &Sum{Domains: map[string]uint16{}, Load: map[uint32]Load{}, Demand: map[string]float32{},
		Waiting: map[string][]uint32{}, Suspects: map[uint32]suspicion.Report{}}
}

// nodes returns the number of nodes that accept requests.
func (s *Sum) nodes() int {
	n := 0
	for _, count := range s.Domains {
		n += int(count)
	}
	return n
}

// addState adds the state of one node. Its failure domain is listed even if the node
// doesn't accept requests.
func (s *Sum) addState(state *State) {
	s.Domains[state.Node.FailureDomain] += 0
	if state.Node.acceptsRequests() {
		s.Domains[state.Node.FailureDomain]++
	}
	for instance, load := range state.Load {
		s.addLoad(instance, load)
	}
	for model, slots := range state.Demand {
		s.Demand[model] += slots
	}
	for model, n := range state.Waiting {
		if n > 0 {
			s.addWaiting(model, Key(state.Node.Name))
		}
	}
	for instance, seen := range state.Suspects {
		s.Suspects[instance] = s.Suspects[instance].Add(seen)
	}
}

// add adds another sum.
func (s *Sum) add(other *Sum) {
	for domain, n := range other.Domains {
		s.Domains[domain] += n
	}
	for instance, load := range other.Load {
		s.addLoad(instance, load)
	}
	for model, slots := range other.Demand {
		s.Demand[model] += slots
	}
	for model, nodes := range other.Waiting {
		s.addWaiting(model, nodes...)
	}
	for instance, seen := range other.Suspects {
		s.Suspects[instance] = s.Suspects[instance].Add(seen)
	}
}

func (s *Sum) addLoad(instance uint32, load Load) {
	old := s.Load[instance]
	s.Load[instance] = NewLoad(old.Requests()+load.Requests(), old.Progress() || load.Progress())
}

func (s *Sum) addWaiting(model string, nodes ...uint32) {
	list := s.Waiting[model]
	s.Waiting[model] = append(list, nodes[:min(len(nodes), maxWaiting-len(list))]...)
}

// without returns a copy of the sum without state, which the sum must contain. Events
// that arrive at that node alone still count as progress.
func (s *Sum) without(state *State) *Sum {
	rest := &Sum{Domains: maps.Clone(s.Domains), Load: maps.Clone(s.Load), Demand: maps.Clone(s.Demand),
		Waiting: maps.Clone(s.Waiting), Suspects: maps.Clone(s.Suspects)}
	if state.Node.acceptsRequests() {
		rest.Domains[state.Node.FailureDomain]--
	}
	for instance, load := range state.Load {
		all := rest.Load[instance]
		if left := all.Requests() - load.Requests(); left > 0 {
			rest.Load[instance] = NewLoad(left, all.Progress())
		} else {
			delete(rest.Load, instance)
		}
	}
	for model, slots := range state.Demand {
		rest.Demand[model] = max(rest.Demand[model]-slots, 0)
	}
	own := Key(state.Node.Name)
	for model, n := range state.Waiting {
		if n > 0 {
			rest.Waiting[model] = removeKey(rest.Waiting[model], own)
		}
	}
	for instance, seen := range state.Suspects {
		if rest.Suspects[instance] = rest.Suspects[instance].Without(seen); rest.Suspects[instance] == 0 {
			delete(rest.Suspects, instance)
		}
	}
	return rest
}

func removeKey(list []uint32, key uint32) []uint32 {
	rest := make([]uint32, 0, len(list))
	for _, other := range list {
		if other != key {
			rest = append(rest, other)
		}
	}
	return rest
}
