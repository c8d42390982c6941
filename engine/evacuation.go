package engine

// Evacuation is the state of the evacuation of a failure domain.
type Evacuation uint8

// States of an evacuation; the zero value means that there is none.
const (
	// EvacuationPending means that the domain's instances get only requests that no other
	// can run.
	EvacuationPending Evacuation = iota + 1
	// EvacuationInForce means that the domain's instances get no requests.
	EvacuationInForce
)

// String returns the name of the state.
func (e Evacuation) String() string {
	switch e {
	case EvacuationPending:
		return "pending"
	case EvacuationInForce:
		return "in force"
	}
	return "none"
}

// Evacuations maps failure domains to the states of their evacuations.
type Evacuations map[string]Evacuation

// Of returns the state for a group or a single instance: the furthest one of its members.
func (e Evacuations) Of(members ...*Instance) Evacuation {
	furthest := Evacuation(0)
	if len(e) == 0 {
		return furthest
	}
	for _, in := range members {
		furthest = max(furthest, e[in.FailureDomain])
	}
	return furthest
}

// OfAll is Of for the state that all members have at least: zero for a group of which a
// member isn't evacuated.
func (e Evacuations) OfAll(members ...*Instance) Evacuation {
	if len(e) == 0 || len(members) == 0 {
		return 0
	}
	least := EvacuationInForce
	for _, in := range members {
		least = min(least, e[in.FailureDomain])
	}
	return least
}
