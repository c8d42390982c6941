package placement

import (
	"fmt"
	"slices"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// draft is a copy of the current placement that a plan modifies step by step.
type draft struct {
	input *Input
	next  fleet.Placement
	// owner maps instances to the name of their group in next.
	owner map[string]string
	// before holds the members of the current placement. They may not enter
	// another group in the same plan, even if next no longer contains them.
	before map[string]bool
	// loadsLeft is the number of weight loads that may still start.
	loadsLeft int
	// loads is the number of weight loads that the plan starts.
	loads   int
	changed bool
	// reasons describe the changes, for the log.
	reasons []string
}

func newDraft(input *Input) *draft {
	d := &draft{input: input, owner: make(map[string]string), before: make(map[string]bool), loadsLeft: input.LoadsAllowed}
	d.next = input.Current
	d.next.FabricDomain = input.FabricDomain
	d.next.Groups = slices.Clone(input.Current.Groups)
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

// inGroup reports whether an instance is in a group, or was in one when the plan
// began.
func (d *draft) inGroup(id string) bool {
	_, placed := d.owner[id]
	return placed || d.before[id]
}

// recordChange marks the draft as changed and adds a reason for the log.
func (d *draft) recordChange(format string, args ...any) {
	d.changed = true
	d.reasons = append(d.reasons, fmt.Sprintf(format, args...))
}

// desired returns the configured service of g. It returns false if the
// configuration has no group of this name, service and size, so that g must be
// removed. The model version may differ.
func (d *draft) desired(g *fleet.PlacedGroup) (fleet.Service, bool) {
	for i := range d.input.Groups {
		c := &d.input.Groups[i]
		if c.Name == g.Name {
			service, known := d.input.Services[c.Service]
			return service, known && g.Service == c.Service && len(g.Members) == c.Size
		}
	}
	return fleet.Service{}, false
}

// removedWhenDrained reports whether a withdrawn group will be removed once it
// is drained, rather than formed again with the same members.
func (d *draft) removedWhenDrained(g *fleet.PlacedGroup) bool {
	service, ok := d.desired(g)
	return !ok || service.Version == g.Version
}

// allocateGeneration returns a new generation. It is greater than any used
// before and any that an engine reports, because an engine that checks fencing
// tokens refuses lower ones.
func (d *draft) allocateGeneration() fleet.Generation {
	generation := max(d.next.NextGeneration, 1)
	for _, view := range d.input.Instances {
		if view.Fresh {
			generation = max(generation, view.Report.Generation+1)
		}
	}
	d.next.NextGeneration = generation + 1
	return generation
}

// withdraw marks a group as withdrawn, so that it gets no new work.
func (d *draft) withdraw(g *fleet.PlacedGroup, reason string) {
	g.Phase = fleet.PhaseWithdrawn
	d.recordChange("withdraw group %s: %s", g.Name, reason)
}

// remove deletes a group from the placement.
func (d *draft) remove(name, reason string) {
	for i := range d.next.Groups {
		if d.next.Groups[i].Name != name {
			continue
		}
		for _, m := range d.next.Groups[i].Members {
			delete(d.owner, m.Instance)
		}
		d.next.Groups = slices.Delete(d.next.Groups, i, i+1)
		d.recordChange("remove group %s: %s", name, reason)
		return
	}
}

// form sets the members of a group and gives it a new generation. The ranks in
// vacant are filled from chosen, in order; the other ranks keep their members.
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
		view := d.input.Instances[chosen[i]]
		g.Members[rank] = fleet.GroupMember{Instance: chosen[i], Address: view.Entry.Address}
		d.owner[chosen[i]] = g.Name
	}
	g.Version, g.Phase, g.Generation = service.Version, fleet.PhaseForming, d.allocateGeneration()
	for _, m := range g.Members {
		view := d.input.Instances[m.Instance]
		needed := loadsNeeded(&view.Report, service)
		d.loads += needed
		d.loadsLeft -= needed
	}
	d.recordChange("form group %s generation %d with new members %v", g.Name, g.Generation, chosen)
}
