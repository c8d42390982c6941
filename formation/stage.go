package formation

import (
	"maps"
	"slices"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// completionValue is the worth of completing a group within a domain, as a part
// of the groups that a model needs.
const completionValue = 0.15

// spareLoadShare is the part of the loads that run at once that members of serving
// groups may take. Such a load takes as long as one that a new instance waits for.
const spareLoadShare = 0.45

// reservedLoads are kept for instances that are listed next.
const reservedLoads = 2

// stages returns commands that load weights onto free instances which no group
// can use as they are. Loads take long; an instance that waits for them in a group
// would hold up the others.
func (s *Situation) stages(free domains, need *needs) []engine.Command {
	if s.LoadsAreShort {
		return s.stagesBeforeTraffic()
	}
	s.countComing(free, need)
	var commands []engine.Command
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		for _, in := range free[domain] {
			if s.Staging[in.ID] != "" || s.isUseful(in, need) || len(commands) >= s.Loads {
				continue
			}
			model := s.stageModel(free[domain], need)
			need.coming[model.Name]++
			commands = append(commands, s.stage(in, model.Name))
		}
	}
	spare := s.Loads - len(commands) - reservedLoads
	if atOnce := s.Profile.LoadsAtOnce; atOnce > 0 {
		spare = min(spare, int(spareLoadShare*float64(atOnce))-s.spareLoading())
	}
	if spare > 0 {
		commands = append(commands, s.spareStages(need, spare)...)
	}
	return commands
}

// stage returns the command that loads a model's weights onto an instance's host.
func (s *Situation) stage(in *engine.Instance, model string) engine.Command {
	s.Staging[in.ID] = model
	return engine.Command{Operation: engine.Stage, Instance: in.ID, Address: in.Address, Model: model}
}

// spareStages uses loads that no free instance needs: members of serving groups
// that have the weights of one model only get those of another, the shortest one
// first. Survivors of a broken group can then join groups of either.
func (s *Situation) spareStages(need *needs, spare int) []engine.Command {
	var commands []engine.Command
	for _, in := range s.Instances {
		model := s.otherModel(in)
		serving := in.Membership.Phase == engine.Open || in.Membership.Phase == engine.Ready
		if model == "" || !serving || in.Leaving || s.Staging[in.ID] != "" || need.shortage(model) <= need.shortage(in.Model) {
			continue
		}
		if len(commands) == spare {
			break
		}
		commands = append(commands, s.stage(in, model))
	}
	return commands
}

// spareLoading counts the loads of members of groups.
func (s *Situation) spareLoading() int {
	n := 0
	for _, in := range s.Instances {
		if in.Membership.Group != "" && s.Staging[in.ID] != "" {
			n++
		}
	}
	return n
}

// stagesBeforeTraffic loads another model onto the host of each member of a
// serving group, while loads cost next to nothing. Such an instance can join groups
// of either model later without a load.
func (s *Situation) stagesBeforeTraffic() []engine.Command {
	var commands []engine.Command
	for _, in := range s.Instances {
		m := in.Membership
		if m.Phase != engine.Open && m.Phase != engine.Ready {
			continue
		}
		if model := s.otherModel(in); model != "" && s.Staging[in.ID] == "" {
			commands = append(commands, s.stage(in, model))
		}
	}
	return commands
}

// otherModel returns the first model that an instance has no weights of, unless
// weights of another one than its group's are staged already.
func (s *Situation) otherModel(in *engine.Instance) string {
	for _, staged := range in.Staged {
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

// countComing counts the free instances by the weights that they have or load.
func (s *Situation) countComing(free domains, need *needs) {
	clear(need.coming)
	for _, list := range free {
		for _, in := range list {
			if model := s.weightsOf(in); model != "" {
				need.coming[model]++
			}
		}
	}
}

// weightsOf returns the model whose weights an instance loads or has.
func (s *Situation) weightsOf(in *engine.Instance) string {
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

// isUseful reports whether an instance has the weights of a model that is short
// of groups, or any weights while none is.
func (s *Situation) isUseful(in *engine.Instance, need *needs) bool {
	short := false
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		if need.shortageToCome(m) > 0 || need.shortage(m.Name) > 0 {
			short = true
			if isWarm(in, m.Name) {
				return true
			}
		}
	}
	return !short && s.weightsOf(in) != ""
}

// stageModel chooses the model whose weights serve a domain's free instances best.
func (s *Situation) stageModel(free []*engine.Instance, need *needs) *catalog.Model {
	var best *catalog.Model
	value := 0.0
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		have := 0
		for _, in := range free {
			if isWarm(in, m.Name) || s.Staging[in.ID] == m.Name {
				have++
			}
		}
		v := need.shortageToCome(m) + completionValue*float64(have%m.Size)/float64(m.Size)
		if best == nil || v > value {
			best, value = m, v
		}
	}
	return best
}
