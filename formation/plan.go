package formation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// Plan is what has to be ordered now.
type Plan struct {
	// Commands go to members of existing groups.
	Commands []engine.Command
	// Groups are new groups.
	Groups []Draft
}

// Draft is a group to be formed.
type Draft struct {
	Model   string
	Members []*engine.Instance
	// Loads is the number of members that load weights from the weight store.
	Loads int
}

// Make returns the plan for a situation.
func Make(s *Situation) Plan {
	var p Plan
	for _, g := range s.Groups {
		if command, due := s.tend(g); due {
			p.Commands = append(p.Commands, command)
		}
	}
	p.Groups = s.drafts()
	return p
}

// tend returns the command that an existing group needs.
func (s *Situation) tend(g *engine.Group) (engine.Command, bool) {
	head := g.Head()
	if head == nil || s.Ordered[head.ID] {
		return engine.Command{}, false
	}
	command := engine.Command{Instance: head.ID, Address: head.Address, Group: g.ID}
	whole := g.Whole(s.size(g))
	switch head.Membership.Phase {
	case engine.Ready:
		command.Operation = engine.OpenHead
		return command, whole
	case engine.Open:
		command.Operation = engine.CloseHead
		// Requests of a group that lost a member make no progress.
		command.CutRunning = len(g.Members) < s.size(g)
		return command, !whole
	}
	return engine.Command{}, false
}

// drafts returns new groups from free instances, the most needed first.
func (s *Situation) drafts() []Draft {
	free := s.free()
	need := s.needs()
	loads := s.Loads
	var drafts []Draft
	for {
		best, found := s.best(free, need, loads)
		if !found {
			return drafts
		}
		loads -= best.Loads
		need.add(best.Model)
		domain := best.Members[0].FabricDomain
		free[domain] = slices.DeleteFunc(free[domain], func(in *engine.Instance) bool {
			return slices.Contains(best.Members, in)
		})
		drafts = append(drafts, best)
	}
}

// best returns the draft with the highest value.
func (s *Situation) best(free map[string][]*engine.Instance, need *needs, loads int) (Draft, bool) {
	var best Draft
	value, found := 0.0, false
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		for i := range s.Profile.Models {
			model := &s.Profile.Models[i]
			if len(free[domain]) < model.Size || !need.wants(model, free[domain]) {
				continue
			}
			draft := choose(free[domain], model)
			if draft.Loads > loads {
				continue
			}
			if v := need.value(model, &draft); !found || v > value {
				best, value, found = draft, v, true
			}
		}
	}
	return best, found
}

// choose picks the members that are ready soonest.
func choose(free []*engine.Instance, model *catalog.Model) Draft {
	sorted := slices.Clone(free)
	slices.SortFunc(sorted, func(a, b *engine.Instance) int {
		return cmp.Or(cmp.Compare(effort(a, model.Name), effort(b, model.Name)), cmp.Compare(a.ID, b.ID))
	})
	d := Draft{Model: model.Name, Members: sorted[:model.Size]}
	for _, in := range d.Members {
		if effort(in, model.Name) >= effortLoad {
			d.Loads++
		}
	}
	return d
}

// Efforts of joining a group, by rising time.
const (
	effortNone = iota
	effortStaged
	effortLoad
	// effortOther is a load that evicts the weights of another model.
	effortOther
)

func effort(in *engine.Instance, model string) int {
	switch {
	case in.Model == model:
		return effortNone
	case slices.Contains(in.Staged, model):
		return effortStaged
	case len(in.Staged) == 0:
		return effortLoad
	}
	return effortOther
}
