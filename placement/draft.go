package placement

import (
	"fmt"
	"slices"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// draft is a placement that a plan modifies step by step.
type draft struct {
	in   *Input
	next fleet.Placement
	// owner maps instances to their group in next.
	owner map[string]string
	// before holds the members of the current placement. They may not enter
	// another group in the same plan, even if the draft no longer holds them.
	before    map[string]bool
	loadsLeft int
	loads     int
	changed   bool
	reasons   []string
}

func newDraft(in *Input) *draft {
	d := &draft{in: in, owner: make(map[string]string), before: make(map[string]bool), loadsLeft: in.LoadsAllowed}
	d.next = in.Current
	d.next.FabricDomain = in.FabricDomain
	d.next.Groups = slices.Clone(in.Current.Groups)
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		g.Members = slices.Clone(g.Members)
		for _, m := range g.Members {
			d.owner[m.Instance] = g.Name
			d.before[m.Instance] = true
		}
	}
	return d
}

// held tells whether an instance is in a group or was when the plan began.
func (d *draft) held(id string) bool {
	_, placed := d.owner[id]
	return placed || d.before[id]
}

// note marks the draft as changed.
func (d *draft) note(format string, args ...any) {
	d.changed = true
	d.reasons = append(d.reasons, fmt.Sprintf(format, args...))
}

// desired returns the configured group and service that g is an instance of, up
// to the version. ok is false for a group that must go.
func (d *draft) desired(g *fleet.PlacedGroup) (fleet.Service, bool) {
	for i := range d.in.Groups {
		c := &d.in.Groups[i]
		if c.Name == g.Name {
			service, known := d.in.Services[c.Service]
			return service, known && g.Service == c.Service && len(g.Members) == c.Size
		}
	}
	return fleet.Service{}, false
}

// leaves tells whether a withdrawn group will be removed when drained rather
// than formed again in place.
func (d *draft) leaves(g *fleet.PlacedGroup) bool {
	service, ok := d.desired(g)
	return !ok || service.Version == g.Version
}

// allocate returns a new generation: greater than any used before, and than any
// that an engine reports, because an engine that checks fencing tokens refuses
// lower ones.
func (d *draft) allocate() fleet.Generation {
	generation := max(d.next.NextGeneration, 1)
	for _, view := range d.in.Instances {
		if view.Fresh {
			generation = max(generation, view.Report.Generation+1)
		}
	}
	d.next.NextGeneration = generation + 1
	return generation
}

// withdraw stops new work for a group.
func (d *draft) withdraw(g *fleet.PlacedGroup, reason string) {
	g.Phase = fleet.PhaseWithdrawn
	d.note("withdraw group %s: %s", g.Name, reason)
}

// remove takes a group out of the placement.
func (d *draft) remove(name, reason string) {
	for i := range d.next.Groups {
		if d.next.Groups[i].Name != name {
			continue
		}
		for _, m := range d.next.Groups[i].Members {
			delete(d.owner, m.Instance)
		}
		d.next.Groups = slices.Delete(d.next.Groups, i, i+1)
		d.note("remove group %s: %s", name, reason)
		return
	}
}

// form gives a group its members under a new generation. Ranks in vacant are
// filled from chosen in order; the other ranks stay.
func (d *draft) form(group fleet.Group, service *fleet.Service, vacant []int, chosen []string) {
	g := d.next.Group(group.Name)
	if g == nil {
		d.next.Groups = append(d.next.Groups, fleet.PlacedGroup{
			Name: group.Name, Service: service.Name, Members: make([]fleet.GroupMember, group.Size)})
		g = &d.next.Groups[len(d.next.Groups)-1]
	}
	for i, rank := range vacant {
		if old := g.Members[rank].Instance; old != "" {
			delete(d.owner, old)
		}
		view := d.in.Instances[chosen[i]]
		g.Members[rank] = fleet.GroupMember{Instance: chosen[i], Address: view.Entry.Address}
		d.owner[chosen[i]] = g.Name
	}
	g.Version, g.Phase, g.Generation = service.Version, fleet.PhaseForming, d.allocate()
	for _, m := range g.Members {
		view := d.in.Instances[m.Instance]
		need := lacks(&view.Report, service)
		d.loads += need
		d.loadsLeft -= need
	}
	d.note("form group %s generation %d with new members %v", g.Name, g.Generation, chosen)
}
