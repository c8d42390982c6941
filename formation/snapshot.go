package formation

import (
	"cmp"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// Snapshot is the input of a plan.
type Snapshot struct {
	Profile *catalog.EngineProfile
	// Instances and Groups are those outside evacuated failure domains.
	Instances []*engine.Instance
	Groups    []*engine.Group
	// Evacuated are the instances in evacuated failure domains. They get no commands but to
	// close groups that have members outside, and count as no capacity.
	Evacuated []*engine.Instance
	// BorderGroups are the groups with members both inside and outside such domains.
	BorderGroups []*engine.Group
	// Demand is the moving average, over some seconds, of the requests that run or
	// wait, by model. It is empty before the first traffic.
	Demand map[string]float64
	// CommandPending holds the IDs of instances with a command whose effect isn't
	// listed yet.
	CommandPending map[string]bool
	// Formed are the groups that this lease holder commanded to form.
	Formed map[engine.GroupID]FormedGroup
	// FirstEpoch is the lowest epoch of this lease holder.
	FirstEpoch uint64
	// UnansweredEpochs is, by instance ID, the highest epoch of the join commands that
	// the instance didn't answer and may still carry out.
	UnansweredEpochs map[string]uint64
	// LastHead is the most recently listed head of a group.
	LastHead map[engine.GroupID]*engine.Instance
	// SeenSince is when this lease holder first saw a group in the instance list.
	SeenSince map[engine.GroupID]time.Time
	// Sizes are the numbers of members with which the groups were complete.
	Sizes *engine.Sizes
	// Loads is the number of loads from the weight store that may start now.
	Loads int
	// BeforeTraffic is true from the first start of the whole system until the first
	// traffic arrives. Loads take a tenth of their usual time until then.
	BeforeTraffic bool
	// Progress reports whether the group of the given head is sending events.
	Progress func(head string) bool
	// Repeatable is true if every request to the service can be continued by another
	// group.
	Repeatable bool
	// DemandAge is the time since demand was first measured.
	DemandAge time.Duration
	// Reservations keep the free instances of a fabric domain for one model, by domain.
	Reservations map[string]Reservation
	// Staging is the model whose weights an instance was commanded to load onto its
	// host, by instance ID.
	Staging map[string]string
	Now     time.Time
}

// FormedGroup is a group whose members were commanded to join.
type FormedGroup struct {
	Model string
	// Members are instance IDs by rank; the first one is the head.
	Members []string
	// Loads is the number of members that load weights from the weight store.
	Loads int
	// At is when the join commands were sent.
	At time.Time
}

// group returns the listed group with the given ID, or nil.
func (s *Snapshot) group(id engine.GroupID) *engine.Group {
	for _, list := range [][]*engine.Group{s.Groups, s.BorderGroups} {
		for _, g := range list {
			if g.ID == id {
				return g
			}
		}
	}
	return nil
}

// instance returns the listed instance with the given ID, or nil.
func (s *Snapshot) instance(id string) *engine.Instance {
	for _, list := range [][]*engine.Instance{s.Instances, s.Evacuated} {
		for _, in := range list {
			if in.ID == id {
				return in
			}
		}
	}
	return nil
}

// size returns the number of members of a complete group, or 0 if the group's model
// isn't configured any more.
func (s *Snapshot) size(g *engine.Group) int { return s.Profile.Size(g.Model) }

// formedSize returns the number of members with which a group was formed, as far as it is
// known.
func (s *Snapshot) formedSize(g *engine.Group) int {
	if f, formedHere := s.Formed[g.ID]; formedHere {
		return len(f.Members)
	}
	return cmp.Or(s.Sizes.Of(g.ID), s.size(g))
}
