package engine

import (
	"cmp"
	"maps"
	"slices"
)

// Phase is the state of a member in its group, as it reports it.
type Phase string

// Phases of members. Only the head of a group becomes open.
const (
	Joining Phase = "joining"
	Ready   Phase = "ready"
	Open    Phase = "open"
	Closing Phase = "closing"
	Broken  Phase = "broken"
)

// Membership is an instance's place in a group. The zero value is no group.
type Membership struct {
	Group string
	// Epoch orders the member lists of a group; engines refuse a lower one than
	// they have seen.
	Epoch uint64
	// Rank 0 is the head, which receives the group's requests.
	Rank  int
	Phase Phase
}

// Instance is a backend server in the platform's list.
type Instance struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	FabricDomain  string
	// Leaving instances receive no new work.
	Leaving bool
	// Slots is the number of requests that it runs at once.
	Slots int
	// StartedMs tells the lives of an instance apart; Unix milliseconds.
	StartedMs int64
	// Model is the model in memory, empty if there is none.
	Model string
	// Staged are the models whose weights are on the host.
	Staged     []string
	Membership Membership
}

// GroupID identifies one member list of a group.
type GroupID struct {
	Name  string
	Epoch uint64
}

// Group is a group as its members report it.
type Group struct {
	ID    GroupID
	Model string
	// Members are ordered by rank.
	Members []*Instance
}

// Head returns the member that receives requests, or nil if it isn't listed.
func (g *Group) Head() *Instance {
	if len(g.Members) > 0 && g.Members[0].Membership.Rank == 0 {
		return g.Members[0]
	}
	return nil
}

// Whole reports whether size members are listed, have joined and stay.
func (g *Group) Whole(size int) bool {
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

// Serving reports whether a whole group of the given size accepts requests.
func (g *Group) Serving(size int) bool { return g.IsOpen() && g.Whole(size) }

// LacksOnlyListing reports whether the group would be whole but for members that
// aren't listed. These may be lost, or cut off from the store.
func (g *Group) LacksOnlyListing(size int) bool {
	for _, m := range g.Members {
		joined := m.Membership.Phase == Ready || m.Membership.Rank == 0
		if !joined || m.Leaving || m.Membership.Rank >= size {
			return false
		}
	}
	return len(g.Members) < size
}

// SpansDomains reports whether the members are in several fabric domains.
func (g *Group) SpansDomains() bool {
	for _, m := range g.Members {
		if m.FabricDomain != g.Members[0].FabricDomain {
			return true
		}
	}
	return false
}

// Roster is one version of the platform's list.
type Roster struct {
	ByID map[string]*Instance
	// ByService lists the instances of each service, sorted by ID.
	ByService map[string][]*Instance
	// Groups lists the groups of each service, sorted by name and epoch.
	Groups map[string][]*Group
}

// NewRoster derives a roster from the listed instances.
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
