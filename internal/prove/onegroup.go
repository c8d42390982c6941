package prove

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// CheckOneGroup checks that no instance serves for two groups at once, according
// to the engines' records, and that no written placement allows it.
func CheckOneGroup(h *History) Result {
	r := Result{Faults: len(h.Faults)}
	writes := placementWrites(h, &r)
	groups := membersByGroup(writes, &r)
	checkWrites(writes, &r)
	if !porcupine.CheckOperations(ownerModel, ownerOperations(writes)) {
		r.Fail("the placement writes move an instance between groups without releasing it, or back to an old generation")
	}
	checkRequestGroups(h, groups, &r)
	checkParticipation(h, &r)
	checkRoleSwitches(h, &r)
	r.RequireActivity()
	return r
}

// checkWrites checks each written placement by itself, against its previous
// version, and against the placements of the other fabric domains.
func checkWrites(writes []placementWrite, r *Result) {
	newest := map[string]*fleet.Placement{}
	for i := range writes {
		w := &writes[i]
		if err := w.placement.Validate(); err != nil {
			r.Fail("%v", err)
		}
		if before := newest[w.key]; before != nil {
			checkGenerations(w.key, before, &w.placement, r)
		}
		newest[w.key] = &w.placement
		owner := map[string]string{}
		for key, p := range newest {
			for _, g := range p.Groups {
				for _, m := range g.Members {
					if other, taken := owner[m.Instance]; taken && other != key {
						r.Fail("instance %s is in both placements %s and %s", m.Instance, other, key)
					}
					owner[m.Instance] = key
				}
			}
		}
	}
}

// checkGenerations adds a violation if a generation decreases or is reused.
func checkGenerations(key string, before, after *fleet.Placement, r *Result) {
	if after.NextGeneration < before.NextGeneration {
		r.Fail("the next generation of %s went from %d to %d", key, before.NextGeneration, after.NextGeneration)
	}
	for _, g := range after.Groups {
		existing := before.Group(g.Name)
		if existing != nil && existing.Generation == g.Generation {
			continue
		}
		if g.Generation < before.NextGeneration {
			r.Fail("group %s of %s got generation %d although %d was next", g.Name, key, g.Generation, before.NextGeneration)
		}
	}
}

// ownership is the assignment of one instance to a group in a placement; the zero
// value is no group.
type ownership struct {
	group      string
	generation fleet.Generation
}

// ownerInput is the effect of a placement write on one instance.
type ownerInput struct {
	instance string
	next     ownership
}

// ownerModel is a linearizability model with one register per instance, which
// holds the instance's group and its last generation. An instance must be released
// before it is assigned to another group, and its generation never decreases.
var ownerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range history {
			instance := o.Input.(ownerInput).instance
			parts[instance] = append(parts[instance], o)
		}
		var list [][]porcupine.Operation
		for _, part := range parts {
			list = append(list, part)
		}
		return list
	},
	Init: func() any { return ownership{} },
	Step: func(state, input, _ any) (bool, any) {
		now, next := state.(ownership), input.(ownerInput).next
		switch {
		case next.group == "":
			return true, ownership{generation: now.generation}
		case now.group == "":
			return next.generation > now.generation, next
		default:
			return next.group == now.group && next.generation >= now.generation, next
		}
	},
}

// ownerOperations converts the writes, which the platform orders, to operations of
// ownerModel.
func ownerOperations(writes []placementWrite) []porcupine.Operation {
	var operations []porcupine.Operation
	previous := map[string]map[string]ownership{}
	for i := range writes {
		w := &writes[i]
		assigned := map[string]ownership{}
		for _, g := range w.placement.Groups {
			for _, m := range g.Members {
				assigned[m.Instance] = ownership{g.Name, g.Generation}
			}
		}
		all := map[string]ownership{}
		for instance := range previous[w.key] {
			all[instance] = ownership{}
		}
		for instance, o := range assigned {
			all[instance] = o
		}
		for instance, next := range all {
			operations = append(operations, porcupine.Operation{
				Input: ownerInput{instance, next}, Call: int64(2 * i), Return: int64(2*i + 1),
			})
		}
		previous[w.key] = assigned
	}
	return operations
}

// checkRequestGroups adds a violation for each request that ran for a group that
// was never placed, or on an engine other than the group's rank 0.
func checkRequestGroups(h *History, groups map[groupID][]string, r *Result) {
	for i := range h.Events {
		e := &h.Events[i]
		if e.Kind != standin.EventBegin {
			continue
		}
		r.Operations++
		members := groups[groupID{e.Request.Group, e.Request.Generation}]
		if len(members) == 0 || members[0] != e.Instance {
			r.Fail("%s ran a request of generation %d of group %s, whose members are %v",
				e.Instance, e.Request.Generation, e.Request.Group, members)
		}
	}
}

// checkRoleSwitches adds a violation for each engine that went from one group to
// another without being idle in between. This does not cover roles from stale
// commands: those of previous lease holders, whose generation is not higher than
// all earlier ones, and those that the test sent.
func checkRoleSwitches(h *History, r *Result) {
	injected := map[string]map[groupID]time.Time{}
	for _, i := range h.Injections {
		if injected[i.Instance] == nil {
			injected[i.Instance] = map[groupID]time.Time{}
		}
		injected[i.Instance][groupID{i.Command.Group, i.Command.Generation}] = i.At
	}
	type assignedRole struct {
		role  groupID
		valid bool
	}
	current, highest := map[string]assignedRole{}, map[string]fleet.Generation{}
	for i := range h.Events {
		e := &h.Events[i]
		if e.Role == nil {
			continue
		}
		next := assignedRole{role: groupID{e.Role.Group, e.Role.Generation}}
		previous := current[e.Instance]
		if next.role == previous.role {
			continue
		}
		_, fromHarness := injected[e.Instance][next.role]
		next.valid = next.role.name != "" && !fromHarness && next.role.generation > highest[e.Instance]
		if next.valid {
			highest[e.Instance] = next.role.generation
		}
		if next.valid && previous.valid && previous.role.name != next.role.name {
			r.Fail("%s went from group %s to group %s without being idle", e.Instance, previous.role.name, next.role.name)
		}
		current[e.Instance] = next
	}
}
