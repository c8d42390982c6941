package prove

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// CheckOneGroup checks that no two groups serve with one instance, by the
// engines' own record, and that the written placements never allow it.
func CheckOneGroup(h *History) Result {
	r := Result{Faults: len(h.Faults)}
	writes := placementWrites(h, &r)
	groups := placedGroups(writes, &r)
	checkWrites(writes, &r)
	if !porcupine.CheckOperations(ownerModel, ownerOperations(writes)) {
		r.Fail("the history of the placement moves an instance between groups or back to an old generation")
	}
	checkBegun(h, groups, &r)
	checkParticipation(h, &r)
	checkSwitches(h, &r)
	r.RequireActivity()
	return r
}

// checkWrites checks each written placement alone, against the one before it
// and against those of the other fabric domains.
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
						r.Fail("instance %s is in %s and %s", m.Instance, other, key)
					}
					owner[m.Instance] = key
				}
			}
		}
	}
}

// checkGenerations finds generations that go down or are used again.
func checkGenerations(key string, before, after *fleet.Placement, r *Result) {
	if after.NextGeneration < before.NextGeneration {
		r.Fail("the next generation of %s went from %d to %d", key, before.NextGeneration, after.NextGeneration)
	}
	for _, g := range after.Groups {
		known := before.Group(g.Name)
		if known != nil && known.Generation == g.Generation {
			continue
		}
		if g.Generation < before.NextGeneration {
			r.Fail("group %s of %s got generation %d although %d was next", g.Name, key, g.Generation, before.NextGeneration)
		}
	}
}

// ownership is the place of one instance in a placement; the zero value is none.
type ownership struct {
	group      string
	generation fleet.Generation
}

// ownerInput is a write, seen from one instance.
type ownerInput struct {
	instance string
	next     ownership
}

// ownerModel is one register an instance, which holds the instance's group and
// the last generation that it had. It goes to another group only through none,
// and never back to an old generation.
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

// ownerOperations converts the writes, which the platform orders.
func ownerOperations(writes []placementWrite) []porcupine.Operation {
	var operations []porcupine.Operation
	held := map[string]map[string]ownership{}
	for i := range writes {
		w := &writes[i]
		now := map[string]ownership{}
		for _, g := range w.placement.Groups {
			for _, m := range g.Members {
				now[m.Instance] = ownership{g.Name, g.Generation}
			}
		}
		all := map[string]ownership{}
		for instance := range held[w.key] {
			all[instance] = ownership{}
		}
		for instance, o := range now {
			all[instance] = o
		}
		for instance, next := range all {
			operations = append(operations, porcupine.Operation{
				Input: ownerInput{instance, next}, Call: int64(2 * i), Return: int64(2*i + 1),
			})
		}
		held[w.key] = now
	}
	return operations
}

// checkBegun finds requests that ran for a group that was never placed, or on an
// engine that is not its rank 0.
func checkBegun(h *History, groups map[groupID][]string, r *Result) {
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

// checkSwitches finds engines that were taken from one group into another
// without having been idle. Commands of old holders, recognised by a generation
// that is not above all before, and those of the harness may do so.
func checkSwitches(h *History, r *Result) {
	injected := map[string]map[groupID]time.Time{}
	for _, i := range h.Injections {
		if injected[i.Instance] == nil {
			injected[i.Instance] = map[groupID]time.Time{}
		}
		injected[i.Instance][groupID{i.Order.Group, i.Order.Generation}] = i.At
	}
	type held struct {
		role  groupID
		valid bool
	}
	now, highest := map[string]held{}, map[string]fleet.Generation{}
	for i := range h.Events {
		e := &h.Events[i]
		if e.Role == nil {
			continue
		}
		next := held{role: groupID{e.Role.Group, e.Role.Generation}}
		before := now[e.Instance]
		if next.role == before.role {
			continue
		}
		_, foreign := injected[e.Instance][next.role]
		next.valid = next.role.name != "" && !foreign && next.role.generation > highest[e.Instance]
		if next.valid {
			highest[e.Instance] = next.role.generation
		}
		if next.valid && before.valid && before.role.name != next.role.name {
			r.Fail("%s went from group %s to group %s without being idle", e.Instance, before.role.name, next.role.name)
		}
		now[e.Instance] = next
	}
}
