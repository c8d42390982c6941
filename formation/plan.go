package formation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// Plan is the set of changes to make now.
type Plan struct {
	// Commands go to members of existing groups.
	Commands []engine.Command
	// Groups are the new groups to form.
	Groups []PlannedGroup
	// Reservations keep the free instances of a fabric domain for a model.
	Reservations []Reservation
}

// PlannedGroup is a group to be formed.
type PlannedGroup struct {
	Model   string
	Members []*engine.Instance
	// Loads is the number of members that load weights from the weight store.
	Loads int
}

// NewPlan computes the plan for a snapshot.
func NewPlan(s *Snapshot) Plan {
	var p Plan
	for _, g := range s.Groups {
		if command, needed := s.commandFor(g); needed {
			p.Commands = append(p.Commands, command)
		}
	}
	p.Commands = append(p.Commands, s.releaseCommands()...)
	free, need := s.free(), s.needs()
	completions, reservations := s.completeGroups(free, need)
	p.Groups = s.planGroups(free, need)
	p.Commands = append(p.Commands, s.stageCommands(free, need)...)
	closes, reservation := s.rebalance(free, need)
	if reservation.Domain == "" {
		closes, reservation = s.consolidate(free)
	}
	if reservation.Domain != "" {
		reservations = append(reservations, reservation)
	}
	p.Commands, p.Reservations = append(append(p.Commands, completions...), closes...), reservations
	return p
}

// commandFor returns the command that an existing group needs, and reports whether it
// needs one.
func (s *Snapshot) commandFor(g *engine.Group) (engine.Command, bool) {
	head := g.Head()
	if head == nil || s.CommandPending[head.ID] {
		return engine.Command{}, false
	}
	command := engine.Command{Instance: head.ID, Address: head.Address, Group: g.ID}
	complete := g.IsComplete(s.size(g))
	switch head.Membership.Phase {
	case engine.Ready, engine.Joining:
		if s.formationFailed(g) || s.closedForReservation(g.ID) {
			command.Operation = engine.Leave
			return command, true
		}
		command.Operation = engine.OpenHead
		return command, complete && g.ID.Epoch >= s.FirstEpoch
	case engine.Open:
		formed := s.formedSize(g)
		if formed == s.size(g) && g.MissingOnlyUnlisted(formed) && s.Progress(head.ID) {
			return engine.Command{}, false
		}
		command.Operation = engine.CloseHead
		// Requests of a group that lost a member make no progress.
		command.AbortInFlight = len(g.Members) < formed
		return command, !complete
	}
	return engine.Command{}, false
}

// planGroups returns new groups of free instances, the most needed first. A group
// over several fabric domains is slow, but better than idle instances; it is only
// formed while its model lacks groups for its demand.
func (s *Snapshot) planGroups(free instancesByDomain, need *needs) []PlannedGroup {
	loads := s.Loads
	var groups []PlannedGroup
	for {
		best, found := s.bestInOneDomain(free, need, loads)
		if !found {
			best, found = s.bestAcrossDomains(free, need)
		}
		if !found {
			return groups
		}
		loads -= best.Loads
		need.add(&best, s)
		free.remove(best.Members)
		groups = append(groups, best)
	}
}

// bestInOneDomain returns the group with the highest score whose members are all in
// one fabric domain.
func (s *Snapshot) bestInOneDomain(free instancesByDomain, need *needs, loads int) (PlannedGroup, bool) {
	var best PlannedGroup
	score, found := 0.0, false
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		for i := range s.Profile.Models {
			model := &s.Profile.Models[i]
			if len(free[domain]) < model.Size || s.reservedForOther(domain, model.Name) {
				continue
			}
			planned := chooseMembers(free[domain], model)
			if planned.Loads > 0 && (!s.BeforeTraffic || planned.Loads > loads || !need.mayLoadFor(model)) {
				continue
			}
			if planned.Loads == 0 && !s.reservedFor(domain, model.Name) && need.deprivesOther(&planned) {
				continue
			}
			if candidate := need.score(model, &planned); !found || candidate > score {
				best, score, found = planned, candidate, true
			}
		}
	}
	return best, found
}

// bestAcrossDomains returns a group of instances from several fabric domains that have
// the weights already, for the model with the largest deficit. Such a group is slow, so
// it takes no instances from a domain that is reserved for a group of its own.
func (s *Snapshot) bestAcrossDomains(free instancesByDomain, need *needs) (PlannedGroup, bool) {
	usable := maps.Clone(free)
	for domain := range s.Reservations {
		delete(usable, domain)
	}
	var best PlannedGroup
	largest, found := 0.0, false
	for i := range s.Profile.Models {
		model := &s.Profile.Models[i]
		if deficit := need.deficit(model.Name); deficit > largest {
			planned := chooseMembers(usable.warm(model.Name), model)
			if len(planned.Members) == model.Size {
				best, largest, found = planned, deficit, true
			}
		}
	}
	return best, found
}

// instancesByDomain holds instances by fabric domain.
type instancesByDomain map[string][]*engine.Instance

func (d instancesByDomain) remove(taken []*engine.Instance) {
	for _, in := range taken {
		d[in.FabricDomain] = slices.DeleteFunc(d[in.FabricDomain], func(other *engine.Instance) bool {
			return other == in
		})
	}
}

// chooseMembers picks the instances that can join a group of the model soonest.
func chooseMembers(free []*engine.Instance, model *catalog.Model) PlannedGroup {
	sorted := slices.Clone(free)
	slices.SortStableFunc(sorted, func(a, b *engine.Instance) int {
		return cmp.Compare(joinCost(a, model.Name), joinCost(b, model.Name))
	})
	g := PlannedGroup{Model: model.Name, Members: sorted[:min(model.Size, len(sorted))]}
	for _, in := range g.Members {
		if !isWarm(in, model.Name) {
			g.Loads++
		}
	}
	return g
}

// isWarm reports whether an instance can join a group of the model without a load
// from the weight store.
func isWarm(in *engine.Instance, model string) bool { return joinCost(in, model) < costLoad }

// Costs of joining a group of a model, in ascending order of the time that it takes.
const (
	// costNone is that of an instance with the model in memory.
	costNone = iota
	// costStaged is that of an instance with the weights on its host.
	costStaged
	// costLoad is that of a load from the weight store.
	costLoad
	// costLoadAndEvict is that of a load that evicts the weights of another model.
	costLoadAndEvict
)

func joinCost(in *engine.Instance, model string) int {
	switch {
	case in.Model == model:
		return costNone
	case slices.Contains(in.StagedModels, model):
		return costStaged
	case len(in.StagedModels) == 0:
		return costLoad
	}
	return costLoadAndEvict
}
