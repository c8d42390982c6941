package formation

import (
	"maps"
	"slices"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// completionBonus is the weight of a domain's partly loaded group in the choice of the
// model to stage, in the unit of relativeDeficit.
const completionBonus = 0.15

// preloadFraction is the fraction of the concurrent loads that members of serving
// groups may use. Such a load takes as long as one that a new instance waits for.
const preloadFraction = 0.45

// reservedLoads is the number of loads kept for instances that are about to be listed.
const reservedLoads = 2

// stageCommands returns commands that load weights onto the hosts of free instances
// that no group can use as they are. Loads take long; an instance that loaded weights
// after joining a group would delay the other members.
func (s *Snapshot) stageCommands(free instancesByDomain, need *needs) []engine.Command {
	if s.BeforeTraffic {
		return append(s.preloadBeforeTraffic(), s.preloadSpares(free)...)
	}
	s.countUnassigned(free, need)
	var commands []engine.Command
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		for _, in := range free[domain] {
			if s.Staging[in.ID] != "" || s.hasNeededWeights(in, need) || len(commands) >= s.Loads {
				continue
			}
			model := s.modelToStage(free[domain], need)
			need.unassigned[model.Name]++
			commands = append(commands, s.stageCommand(in, model.Name))
		}
	}
	spare := s.Loads - len(commands) - reservedLoads
	if atOnce := s.Profile.MaxConcurrentLoads; atOnce > 0 {
		spare = min(spare, int(preloadFraction*float64(atOnce))-s.memberLoads())
	}
	if spare > 0 {
		commands = append(commands, s.preloadServingMembers(need, spare)...)
	}
	return commands
}

// stageCommand returns the command that loads a model's weights onto an instance's
// host, and marks the instance as loading.
func (s *Snapshot) stageCommand(in *engine.Instance, model string) engine.Command {
	s.Staging[in.ID] = model
	return engine.Command{Operation: engine.Stage, Instance: in.ID, Address: in.Address, Model: model}
}

// preloadServingMembers uses loads that no free instance needs: members of serving
// groups that have the weights of only one model load those of another one with a
// larger relative deficit. If their group breaks, the remaining members can join groups
// of either model.
func (s *Snapshot) preloadServingMembers(need *needs, limit int) []engine.Command {
	var commands []engine.Command
	for _, in := range s.Instances {
		model := s.modelToPreload(in)
		serving := in.Membership.Phase == engine.Open || in.Membership.Phase == engine.Ready
		if model == "" || !serving || in.Leaving || s.Staging[in.ID] != "" || need.relativeDeficit(model) <= need.relativeDeficit(in.Model) {
			continue
		}
		if len(commands) == limit {
			break
		}
		commands = append(commands, s.stageCommand(in, model))
	}
	return commands
}

// memberLoads returns the number of members of groups that load weights.
func (s *Snapshot) memberLoads() int {
	n := 0
	for _, in := range s.Instances {
		if in.Membership.Group != "" && s.Staging[in.ID] != "" {
			n++
		}
	}
	return n
}

// preloadBeforeTraffic loads a second model onto the host of each member of a serving
// group while loads are short. Such an instance can later join groups of either model
// without a load.
func (s *Snapshot) preloadBeforeTraffic() []engine.Command {
	var commands []engine.Command
	for _, in := range s.Instances {
		m := in.Membership
		if m.Phase != engine.Open && m.Phase != engine.Ready {
			continue
		}
		if model := s.modelToPreload(in); model != "" && s.Staging[in.ID] == "" {
			commands = append(commands, s.stageCommand(in, model))
		}
	}
	return commands
}

// preloadSpares loads weights onto the hosts of the instances that no group uses while
// loads are short, so that they can replace lost members of the groups in their domain.
func (s *Snapshot) preloadSpares(free instancesByDomain) []engine.Command {
	members := s.membersByModel()
	var commands []engine.Command
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		spares := map[string]int{}
		for _, in := range free[domain] {
			if model := s.weightsOf(in); model != "" {
				spares[model]++
			}
		}
		for _, in := range free[domain] {
			if s.weightsOf(in) != "" {
				continue
			}
			if model := spareModel(members[domain], spares); model != "" {
				spares[model]++
				commands = append(commands, s.stageCommand(in, model))
			}
		}
	}
	return commands
}

// spareModel returns the model whose weights the next spare instance of a domain loads,
// or "" if there are no groups. Spares are divided in proportion to the members of the
// groups of each model (the Sainte-Laguë method), since each member is as likely to be
// lost as any other.
func spareModel(members, spares map[string]int) string {
	best, most := "", 0.0
	for _, model := range slices.Sorted(maps.Keys(members)) {
		if quotient := float64(members[model]) / float64(2*spares[model]+1); quotient > most {
			best, most = model, quotient
		}
	}
	return best
}

// membersByModel counts the members of the groups within one domain, by domain and
// model.
func (s *Snapshot) membersByModel() map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, g := range s.Groups {
		if g.SpansDomains() {
			continue
		}
		domain := g.Members[0].FabricDomain
		if counts[domain] == nil {
			counts[domain] = map[string]int{}
		}
		counts[domain][g.Model] += len(g.Members)
	}
	return counts
}

// modelToPreload returns the first model other than the one in the instance's memory,
// or "" if the weights of another model are already on its host.
func (s *Snapshot) modelToPreload(in *engine.Instance) string {
	for _, staged := range in.StagedModels {
		if staged != in.Model {
			return ""
		}
	}
	for i := range s.Profile.Models {
		if name := s.Profile.Models[i].Name; name != in.Model {
			return name
		}
	}
	return ""
}

// countUnassigned counts the free instances by the model whose weights they have or
// load.
func (s *Snapshot) countUnassigned(free instancesByDomain, need *needs) {
	clear(need.unassigned)
	for _, list := range free {
		for _, in := range list {
			if model := s.weightsOf(in); model != "" {
				need.unassigned[model]++
			}
		}
	}
}

// weightsOf returns the model whose weights an instance loads or has, or "".
func (s *Snapshot) weightsOf(in *engine.Instance) string {
	if model := s.Staging[in.ID]; model != "" {
		return model
	}
	for i := range s.Profile.Models {
		if name := s.Profile.Models[i].Name; isWarm(in, name) {
			return name
		}
	}
	return ""
}

// hasNeededWeights reports whether an instance has the weights of a model with a
// deficit, or has or loads any weights while no model has one.
func (s *Snapshot) hasNeededWeights(in *engine.Instance, need *needs) bool {
	anyDeficit := false
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		if need.projectedDeficit(m) > 0 || need.relativeDeficit(m.Name) > 0 {
			anyDeficit = true
			if isWarm(in, m.Name) {
				return true
			}
		}
	}
	return !anyDeficit && s.weightsOf(in) != ""
}

// modelToStage returns the model whose weights are the most useful on a free instance
// of a domain: the one with the largest projected deficit, with a bonus for a group
// that is partly loaded in the domain.
func (s *Snapshot) modelToStage(free []*engine.Instance, need *needs) *catalog.Model {
	var best *catalog.Model
	score := 0.0
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		loaded := 0
		for _, in := range free {
			if isWarm(in, m.Name) || s.Staging[in.ID] == m.Name {
				loaded++
			}
		}
		candidate := need.projectedDeficit(m) + completionBonus*float64(loaded%m.Size)/float64(m.Size)
		if best == nil || candidate > score {
			best, score = m, candidate
		}
	}
	return best
}
