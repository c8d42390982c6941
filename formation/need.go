package formation

import (
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

const (
	// baseDemand is added to each model's demand, in requests, so that a model
	// without traffic keeps groups.
	baseDemand = 4
	// reservePerMember is the reserve for each member of a group.
	reservePerMember = 0.25
	// fullUse is the part of the slots that is planned with, but for bursts, and
	// useLostPerMember what is left free besides for each member of a group: it
	// breaks with any of them, and larger ones take longer to replace.
	fullUse, useLostPerMember = 0.8, 0.05
	// leastUse bounds the part of the slots that is planned with.
	leastUse = 0.3
	// leastShare keeps groups of a model for which no work is expected.
	leastShare = 0.01
	// maxStartReserve bounds the reserve before the demand is known, so that very large
	// groups leave enough instances to the other models.
	maxStartReserve = 2
	// warmValue is the worth of members that need no load, as a part of the
	// groups that a model needs.
	warmValue = 0.25
)

// needs compares the groups of each model with those that its demand asks for.
type needs struct {
	// target is each model's part of the groups that all instances can form.
	target map[string]float64
	// required is the number of groups by model that serve its demand with room to
	// spare, working those that exist or form, where one over several domains counts
	// as a part.
	required, working map[string]float64
	// full is the number of groups by model that serve its demand with no room.
	full map[string]float64
	// coming is the number of instances by model that have or load its weights
	// and belong to no group.
	coming map[string]float64
	models []catalog.Model
}

// needs divides all instances between the models by their demand.
func (s *Situation) needs() *needs {
	n := &needs{target: map[string]float64{},
		coming: map[string]float64{}, required: map[string]float64{}, working: map[string]float64{}, full: map[string]float64{}, models: s.Profile.Models}
	weights := s.weights()
	total := 0.0
	for _, w := range weights {
		total += w
	}
	usable := 0.0
	for _, in := range s.Instances {
		if !in.Leaving {
			usable++
		}
	}
	for _, m := range s.Profile.Models {
		n.full[m.Name] = s.Demand[m.Name] / float64(max(s.Profile.Slots, 1))
		n.required[m.Name] = n.full[m.Name] / planUse(&m)
		if total > 0 {
			n.target[m.Name] = usable * weights[m.Name] / total / float64(m.Size)
		}
	}
	for _, g := range s.Groups {
		if s.keeps(g) {
			n.working[g.Model] += s.workOf(g)
		}
	}
	for _, r := range s.Reserved {
		n.working[r.Model] += float64(r.Groups)
	}
	return n
}

// workOf returns the work of a group as a part of that of a usual one.
func (s *Situation) workOf(g *engine.Group) float64 {
	if g.SpansDomains() {
		return 1 / max(s.Profile.DistanceFactor, 1)
	}
	return 1
}

// lacks returns the number of groups that a model misses to serve its demand.
func (n *needs) lacks(model string) float64 { return n.required[model] - n.working[model] }

// weights returns the instances that each model's demand occupies, in any unit. Before
// the demand is known, a model's share of the work is its share of the instances, but
// for a bounded reserve.
func (s *Situation) weights() map[string]float64 {
	weights := map[string]float64{}
	for _, m := range s.Profile.Models {
		if len(s.Demand) == 0 {
			weights[m.Name] = max(m.Share, leastShare) * min(reserve(&m), maxStartReserve)
			continue
		}
		weights[m.Name] = (s.Demand[m.Name] + baseDemand) * float64(m.Size) * reserve(&m)
	}
	return weights
}

// reserve is the factor by which a model's groups exceed its demand. A group breaks
// with any of its members, so larger ones need more of a reserve.
func reserve(m *catalog.Model) float64 { return 1 + reservePerMember*float64(m.Size) }

// planUse is the part of the slots of a model's groups that is planned with.
func planUse(m *catalog.Model) float64 {
	return max(fullUse-useLostPerMember*float64(m.Size), leastUse)
}

// keeps reports whether a group serves or will.
func (s *Situation) keeps(g *engine.Group) bool {
	size := s.size(g)
	if size == 0 {
		return false
	}
	head := g.Head()
	if g.Whole(size) {
		return head != nil && head.Membership.Phase != engine.Closing && !s.givesUp(g.ID)
	}
	return head != nil && head.Membership.Phase == engine.Joining && !s.abandoned(g)
}

// add counts a new group and takes its members from the instances to come.
func (n *needs) add(d *Draft, s *Situation) {
	if r, reserved := s.Reserved[d.Members[0].FabricDomain]; !reserved || r.Model != d.Model {
		n.working[d.Model] += s.workOf(&engine.Group{Members: d.Members})
	}
	n.coming[d.Model] = max(n.coming[d.Model]-float64(len(d.Members)), 0)
}

// shortage is the missing part of the groups that a model needs; it is negative
// for a model with more.
func (n *needs) shortage(model string) float64 {
	target := max(n.target[model], 0.5)
	return (target - n.working[model]) / target
}

// shortageToCome is the shortage once the instances to come have formed groups.
func (n *needs) shortageToCome(m *catalog.Model) float64 {
	target := max(n.target[m.Name], 0.5)
	return (target - n.working[m.Name] - n.coming[m.Name]/float64(m.Size)) / target
}

// wants reports whether free instances may be given to the model. A model that
// has enough doesn't take the instances that another one waits for.
func (n *needs) wants(model *catalog.Model) bool {
	if n.shortage(model.Name) > 0 {
		return true
	}
	for _, other := range n.models {
		if other.Name != model.Name && n.shortage(other.Name) > 0 {
			return false
		}
	}
	return true
}

// holdsBack reports whether members of a draft have the weights of a model that
// lacks groups for its demand, and more so than the draft's own. They would lose
// these weights in a group of another model.
func (n *needs) holdsBack(d *Draft) bool {
	own := n.shortage(d.Model)
	for i := range n.models {
		other := &n.models[i]
		if other.Name == d.Model || n.lacks(other.Name) <= 0 || n.shortage(other.Name) <= own {
			continue
		}
		if len(warmOf(d.Members, other.Name)) > 0 {
			return true
		}
	}
	return false
}

// value ranks drafts: the model that misses most first, and members that have
// its weights.
func (n *needs) value(model *catalog.Model, d *Draft) float64 {
	warm := float64(len(d.Members)-d.Loads) / float64(len(d.Members))
	return n.shortage(model.Name) + warmValue*warm
}
