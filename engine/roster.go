package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Phase is the state of a member in its group, as reported by the member.
type Phase string

// Phases of members.
const (
	// Joining is the phase of a member that isn't ready yet.
	Joining Phase = "joining"
	// Ready is the phase of a member that has joined.
	Ready Phase = "ready"
	// Open is the phase of a head that accepts requests. Only the head of a group opens.
	Open Phase = "open"
	// Closing is the phase of a head that finishes its requests and accepts no new ones.
	Closing Phase = "closing"
	// Broken is the phase of a member whose group has failed; it runs no requests.
	Broken Phase = "broken"
)

// Valid reports whether p is one of the phases.
func (p Phase) Valid() bool {
	switch p {
	case Joining, Ready, Open, Closing, Broken:
		return true
	}
	return false
}

// MaxEpoch is the largest valid epoch, which leaves room for the following ones.
const MaxEpoch = 1 << 62

// Membership is the membership of an instance in a group. The zero value means that the
// instance is in no group.
type Membership struct {
	Group string
	// Epoch orders the member lists of groups; engines refuse an epoch lower than the
	// highest one that they have seen.
	Epoch uint64
	// Rank is the position in the member list. Rank 0 is the head, which receives the
	// group's requests.
	Rank  int
	Phase Phase
}

// Instance is a backend server in the platform's instance list.
type Instance struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	FabricDomain  string
	// Leaving is true if the instance is shutting down and must receive no new work.
	Leaving bool
	// Slots is the number of requests that the instance runs concurrently.
	Slots int
	// StartedMs is the start time in Unix milliseconds. It distinguishes restarts of an
	// instance.
	StartedMs int64
	// Sequence counts what the instance has written about itself since its start.
	Sequence uint64
	// StatesModels is true if the instance says which models it has, or that it has none.
	StatesModels bool
	// Model is the model in memory, or "" if there is none.
	Model string
	// StagedModels are the models whose weights are on the host.
	StagedModels []string
	// ColdRemaining is how long the instance is to remain cold from when it wrote its entry.
	ColdRemaining time.Duration
	// ColdUntil is when the instance ceases to be cold, by the clock of this process; zero if
	// it wasn't cold when it wrote its entry.
	ColdUntil  time.Time
	Membership Membership
}

// GroupID identifies one member list of a group.
type GroupID struct {
	Name  string
	Epoch uint64
}

// Group is a group of engines that run a model together, as reported by its members.
type Group struct {
	ID    GroupID
	Model string
	// Members are ordered by rank.
	Members []*Instance
}

// Head returns the member that receives the group's requests, or nil if that member
// isn't listed.
func (g *Group) Head() *Instance {
	if len(g.Members) > 0 && g.Members[0].Membership.Rank == 0 {
		return g.Members[0]
	}
	return nil
}

// IsComplete reports whether exactly size members are listed, and all of them have
// joined and aren't leaving.
func (g *Group) IsComplete(size int) bool {
	if len(g.Members) != size {
		return false
	}
	for rank, m := range g.Members {
		p := m.Membership
		joined := p.Phase == Ready || (rank == 0 && (p.Phase == Open || p.Phase == Closing))
		if p.Rank != rank || !joined || m.Leaving {
			return false
		}
	}
	return true
}

// IsOpen reports whether the head is listed and accepts requests.
func (g *Group) IsOpen() bool {
	head := g.Head()
	return head != nil && head.Membership.Phase == Open && !head.Leaving
}

// IsServing reports whether the group is complete with the given size and accepts
// requests.
func (g *Group) IsServing(size int) bool { return g.IsOpen() && g.IsComplete(size) }

// MissingOnlyUnlisted reports whether the group is complete except for members that
// aren't listed. These may have failed, or only be disconnected from the platform's
// store.
func (g *Group) MissingOnlyUnlisted(size int) bool {
	for _, m := range g.Members {
		joined := m.Membership.Phase == Ready || m.Membership.Rank == 0
		if !joined || m.Leaving || m.Membership.Rank >= size {
			return false
		}
	}
	return len(g.Members) < size
}

// SpansDomains reports whether the members are in more than one fabric domain.
func (g *Group) SpansDomains() bool {
	for _, m := range g.Members {
		if m.FabricDomain != g.Members[0].FabricDomain {
			return true
		}
	}
	return false
}

// Roster is one version of the platform's instance list.
type Roster struct {
	ByID map[string]*Instance
	// ByService lists the instances of each service, sorted by ID.
	ByService map[string][]*Instance
	// Groups lists the groups of each service, sorted by name and epoch.
	Groups map[string][]*Group
	// Evacuations are the failure domains that operators evacuate.
	Evacuations Evacuations
}

// NewRoster returns the roster of the listed instances.
func NewRoster(instances []*Instance) *Roster {
	r := &Roster{
		ByID:      make(map[string]*Instance, len(instances)),
		ByService: make(map[string][]*Instance),
		Groups:    make(map[string][]*Group),
	}
	for _, in := range instances {
		r.ByID[in.ID] = in
		r.ByService[in.Service] = append(r.ByService[in.Service], in)
	}
	for service, list := range r.ByService {
		slices.SortFunc(list, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
		r.Groups[service] = GroupsOf(list)
	}
	return r
}

// GroupsOf returns the groups that instances report, sorted by name and epoch.
func GroupsOf(instances []*Instance) []*Group {
	byID := make(map[GroupID]*Group)
	for _, in := range instances {
		m := in.Membership
		if m.Group == "" {
			continue
		}
		id := GroupID{m.Group, m.Epoch}
		if byID[id] == nil {
			byID[id] = &Group{ID: id}
		}
		byID[id].Members = append(byID[id].Members, in)
	}
	groups := slices.Collect(maps.Values(byID))
	for _, g := range groups {
		slices.SortFunc(g.Members, func(a, b *Instance) int {
			return cmp.Or(cmp.Compare(a.Membership.Rank, b.Membership.Rank), cmp.Compare(a.ID, b.ID))
		})
		g.Model = g.Members[0].Model
	}
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.ID.Name, b.ID.Name), cmp.Compare(a.ID.Epoch, b.ID.Epoch))
	})
	return groups
}
