package formation

import (
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// baseDemand is added to each model's demand, in requests, so that a model
	// without traffic keeps groups.
	baseDemand = 4
	// headroomPerMember is the fraction by which the groups of a model exceed its
	// demand, for each member of a group.
	headroomPerMember = 0.25
	// baseUtilisation is the planned utilisation of the slots, before the deduction per
	// member; the rest is left free for bursts.
	baseUtilisation = 0.8
	// utilisationLossPerMember is deducted from the planned utilisation for each member
	// of a group: a group breaks with any of its members, and larger groups take longer
	// to replace.
	utilisationLossPerMember = 0.05
	// minUtilisation is the lower bound of the planned utilisation.
	minUtilisation = 0.3
	// minShare is the lowest assumed share of the work, so that a model for which no work
	// is expected keeps groups.
	minShare = 0.01
	// maxInitialHeadroom bounds the headroom factor before the demand is known, so that
	// models with very large groups leave enough instances to the others.
	maxInitialHeadroom = 2
	// warmBonus is added to the score of a planned group whose members all have the
	// weights already, in the unit of relativeDeficit.
	warmBonus = 0.25
)

// needs compares the existing groups of each model with those that its demand
// requires. All maps are by model name.
type needs struct {
	// target is the number of groups if all instances are divided by demand.
	target map[string]float64
	// required is the number of groups that serve the demand at the planned
	// utilisation.
	required map[string]float64
	// provisioned is the number of groups that serve or are forming; a group over
	// several fabric domains counts as a fraction.
	provisioned map[string]float64
	// full is the number of groups that serve the demand with every slot in use.
	full map[string]float64
	// unassigned is the number of instances without a group that have the weights or
	// load them.
	unassigned map[string]float64
	models     []catalog.Model
}

// needs divides all instances between the models by their demand.
func (s *Snapshot) needs() *needs {
	n := &needs{target: map[string]float64{},
		unassigned: map[string]float64{}, required: map[string]float64{}, provisioned: map[string]float64{}, full: map[string]float64{}, models: s.Profile.Models}
	demand := s.instanceDemand()
	total := 0.0
	for _, d := range demand {
		total += d
	}
	usable := 0.0
	for _, in := range s.Instances {
		if !in.Leaving {
			usable++
		}
	}
	for _, m := range s.Profile.Models {
		n.full[m.Name] = s.Demand[m.Name] / float64(max(s.Profile.Slots, 1))
		n.required[m.Name] = n.full[m.Name] / plannedUtilisation(&m)
		if total > 0 {
			n.target[m.Name] = usable * demand[m.Name] / total / float64(m.Size)
		}
	}
	for _, g := range s.Groups {
		if s.isViable(g) {
			n.provisioned[g.Model] += s.relativeCapacity(g)
		}
	}
	for _, r := range s.Reservations {
		n.provisioned[r.Model] += float64(r.Groups)
	}
	return n
}

// relativeCapacity returns the throughput of a group, where a group within one fabric
// domain has 1.
func (s *Snapshot) relativeCapacity(g *engine.Group) float64 {
	if g.SpansDomains() {
		return 1 / max(s.Profile.CrossDomainFactor, 1)
	}
	return 1
}

// deficit returns the number of groups that a model lacks to serve its demand; it is
// negative for a model with more than it requires.
func (n *needs) deficit(model string) float64 { return n.required[model] - n.provisioned[model] }

// instanceDemand returns the instances that each model's demand occupies, including
// headroom, as weights: only their ratios matter. Before the demand is known, the
// weight is the model's configured share of the work times a bounded headroom factor.
func (s *Snapshot) instanceDemand() map[string]float64 {
	demand := map[string]float64{}
	for _, m := range s.Profile.Models {
		if len(s.Demand) == 0 {
			demand[m.Name] = max(m.Share, minShare) * min(headroomFactor(&m), maxInitialHeadroom)
			continue
		}
		demand[m.Name] = (s.Demand[m.Name] + baseDemand) * float64(m.Size) * headroomFactor(&m)
	}
	return demand
}

// headroomFactor returns the factor by which a model's groups exceed its demand. A
// group breaks with any of its members, so larger groups need more headroom.
func headroomFactor(m *catalog.Model) float64 { return 1 + headroomPerMember*float64(m.Size) }

// plannedUtilisation returns the fraction of the slots of a model's groups that its
// demand is planned to occupy.
func plannedUtilisation(m *catalog.Model) float64 {
	return max(baseUtilisation-utilisationLossPerMember*float64(m.Size), minUtilisation)
}

// isViable reports whether a group serves requests or is expected to do so.
func (s *Snapshot) isViable(g *engine.Group) bool {
	size := s.size(g)
	if size == 0 {
		return false
	}
	head := g.Head()
	if g.IsComplete(size) {
		return head != nil && head.Membership.Phase != engine.Closing && !s.closedForReservation(g.ID)
	}
	return head != nil && head.Membership.Phase == engine.Joining && !s.formationFailed(g)
}

// add counts a planned group as provisioned and removes its members from the
// unassigned instances.
func (n *needs) add(g *PlannedGroup, s *Snapshot) {
	if r, reserved := s.Reservations[g.Members[0].FabricDomain]; !reserved || r.Model != g.Model {
		n.provisioned[g.Model] += s.relativeCapacity(&engine.Group{Members: g.Members})
	}
	n.unassigned[g.Model] = max(n.unassigned[g.Model]-float64(len(g.Members)), 0)
}

// relativeDeficit returns the fraction of a model's target that is missing; it is
// negative for a model with more groups than its target.
func (n *needs) relativeDeficit(model string) float64 {
	target := max(n.target[model], 0.5)
	return (target - n.provisioned[model]) / target
}

// projectedDeficit returns the relative deficit after the model's unassigned
// instances have formed groups.
func (n *needs) projectedDeficit(m *catalog.Model) float64 {
	target := max(n.target[m.Name], 0.5)
	return (target - n.provisioned[m.Name] - n.unassigned[m.Name]/float64(m.Size)) / target
}

// mayLoadFor reports whether free instances may load the weights of the model. A
// model that has reached its target doesn't take instances that another one needs.
func (n *needs) mayLoadFor(model *catalog.Model) bool {
	if n.relativeDeficit(model.Name) > 0 {
		return true
	}
	for _, other := range n.models {
		if other.Name != model.Name && n.relativeDeficit(other.Name) > 0 {
			return false
		}
	}
	return true
}

// deprivesOther reports whether members of a planned group have the weights of
// another model that lacks groups for its demand and has a larger relative deficit
// than the group's model. They would lose these weights in the planned group.
func (n *needs) deprivesOther(g *PlannedGroup) bool {
	own := n.relativeDeficit(g.Model)
	for i := range n.models {
		other := &n.models[i]
		if other.Name == g.Model || n.deficit(other.Name) <= 0 || n.relativeDeficit(other.Name) <= own {
			continue
		}
		if len(withWeights(g.Members, other.Name)) > 0 {
			return true
		}
	}
	return false
}

// score ranks planned groups: the model with the largest relative deficit first, with
// a bonus for members that have its weights.
func (n *needs) score(model *catalog.Model, g *PlannedGroup) float64 {
	warm := float64(len(g.Members)-g.Loads) / float64(len(g.Members))
	return n.relativeDeficit(model.Name) + warmBonus*warm
}
