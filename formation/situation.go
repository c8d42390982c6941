package formation

import (
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// Situation is what a plan is made from.
type Situation struct {
	Profile   *catalog.EngineProfile
	Instances []*engine.Instance
	Groups    []*engine.Group
	// Demand is the number of requests that run or wait, by model, averaged over
	// some seconds; empty before the first traffic.
	Demand map[string]float64
	// Ordered names instances with an order whose effect isn't listed yet.
	Ordered map[string]bool
	// Formed are the member lists of the groups that this holder ordered.
	Formed map[engine.GroupID]Formation
	// FirstEpoch is the lowest epoch of this holder.
	FirstEpoch uint64
	// Unanswered is the highest epoch of the joins that an instance was ordered and
	// did not answer, while they may still be carried out.
	Unanswered map[string]uint64
	// LastHead is the head of a group as listed last.
	LastHead map[engine.GroupID]*engine.Instance
	// SeenSince tells since when this holder has known a group.
	SeenSince map[engine.GroupID]time.Time
	// Loads is the number of loads from the weight store that may start now.
	Loads int
	// LoadsAreShort tells that the first traffic is still to come; loads take a
	// tenth of their time until then.
	LoadsAreShort bool
	// Progress reports whether the group of a head sends events.
	Progress func(head string) bool
	// Repeatable tells that every request to the service can go on at another group.
	Repeatable bool
	// DemandFor is how long the demand has been measured.
	DemandFor time.Duration
	// Reserved keeps the free instances of some domains for one model each.
	Reserved map[string]Reservation
	// Staging maps instances to the model whose weights they were told to load.
	Staging map[string]string
	Now     time.Time
}

// Formation is a group that was ordered.
type Formation struct {
	Model   string
	Members []string
	// Loads is the number of members that load weights from the weight store.
	Loads int
	At    time.Time
}

// group returns the listed group with the given ID, or nil.
func (s *Situation) group(id engine.GroupID) *engine.Group {
	for _, g := range s.Groups {
		if g.ID == id {
			return g
		}
	}
	return nil
}

// instance returns the listed instance with the given ID, or nil.
func (s *Situation) instance(id string) *engine.Instance {
	for _, in := range s.Instances {
		if in.ID == id {
			return in
		}
	}
	return nil
}

// size returns the number of members that the group needs, or 0 if its model
// isn't configured any more.
func (s *Situation) size(g *engine.Group) int {
	if m := s.Profile.Model(g.Model); m != nil {
		return m.Size
	}
	return 0
}
