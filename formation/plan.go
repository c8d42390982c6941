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
	// Reserve keeps free instances of domains for a model.
	Reserve []Reservation
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
	free, need := s.free(), s.needs()
	completions, reservations := s.complete(free, need)
	p.Groups = s.drafts(free, need)
	p.Commands = append(p.Commands, s.stages(free, need)...)
	closes, reservation := s.rebalance(free, need)
	if reservation.Domain == "" {
		closes, reservation = s.regroup(free)
	}
	if reservation.Domain != "" {
		reservations = append(reservations, reservation)
	}
	p.Commands, p.Reserve = append(append(p.Commands, completions...), closes...), reservations
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
	case engine.Ready, engine.Joining:
		if s.abandoned(g) || s.givesUp(g.ID) {
			command.Operation = engine.Leave
			return command, true
		}
		command.Operation = engine.OpenHead
		return command, whole && g.ID.Epoch >= s.FirstEpoch
	case engine.Open:
		if g.LacksOnlyListing(s.size(g)) && s.Progress(head.ID) {
			return engine.Command{}, false
		}
		command.Operation = engine.CloseHead
		// Requests of a group that lost a member make no progress.
		command.CutRunning = len(g.Members) < s.size(g)
		return command, !whole
	}
	return engine.Command{}, false
}

// drafts returns new groups from free instances, the most needed first. A group
// over several domains is slow, but better than instances that serve nobody; it
// is only formed while its model lacks groups for its demand.
func (s *Situation) drafts(free domains, need *needs) []Draft {
	loads := s.Loads
	var drafts []Draft
	for {
		best, found := s.best(free, need, loads)
		if !found {
			best, found = s.bestAcross(free, need)
		}
		if !found {
			return drafts
		}
		loads -= best.Loads
		need.add(&best, s)
		free.remove(best.Members)
		drafts = append(drafts, best)
	}
}

// best returns the draft with the highest value within one domain.
func (s *Situation) best(free domains, need *needs, loads int) (Draft, bool) {
	var best Draft
	value, found := 0.0, false
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		for i := range s.Profile.Models {
			model := &s.Profile.Models[i]
			if len(free[domain]) < model.Size || s.reserves(domain, model.Name) {
				continue
			}
			draft := choose(free[domain], model)
			if draft.Loads > 0 && (!s.LoadsAreShort || draft.Loads > loads || !need.wants(model)) {
				continue
			}
			if draft.Loads == 0 && !s.keptFor(domain, model.Name) && need.holdsBack(&draft) {
				continue
			}
			if v := need.value(model, &draft); !found || v > value {
				best, value, found = draft, v, true
			}
		}
	}
	return best, found
}

// bestAcross returns a draft of instances from several domains that have the
// weights already, for a model that lacks groups. Such a group is slow, so it takes
// nothing from a domain in which a usual one is about to be formed.
func (s *Situation) bestAcross(free domains, need *needs) (Draft, bool) {
	usable := maps.Clone(free)
	for domain := range s.Reserved {
		delete(usable, domain)
	}
	var best Draft
	value, found := 0.0, false
	for i := range s.Profile.Models {
		model := &s.Profile.Models[i]
		if lacks := need.lacks(model.Name); lacks > value {
			draft := choose(usable.warm(model.Name), model)
			if len(draft.Members) == model.Size {
				best, value, found = draft, lacks, true
			}
		}
	}
	return best, found
}

// domains are instances by fabric domain.
type domains map[string][]*engine.Instance

func (d domains) remove(taken []*engine.Instance) {
	for _, in := range taken {
		d[in.FabricDomain] = slices.DeleteFunc(d[in.FabricDomain], func(other *engine.Instance) bool {
			return other == in
		})
	}
}

// choose picks the members that are ready soonest.
func choose(free []*engine.Instance, model *catalog.Model) Draft {
	sorted := slices.Clone(free)
	slices.SortStableFunc(sorted, func(a, b *engine.Instance) int {
		return cmp.Compare(effort(a, model.Name), effort(b, model.Name))
	})
	d := Draft{Model: model.Name, Members: sorted[:min(model.Size, len(sorted))]}
	for _, in := range d.Members {
		if !isWarm(in, model.Name) {
			d.Loads++
		}
	}
	return d
}

// isWarm reports whether an instance can join a group of a model without a load
// from the weight store.
func isWarm(in *engine.Instance, model string) bool { return effort(in, model) < effortLoad }

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
