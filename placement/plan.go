package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Plan returns the next placement for the observed state, or the current one if
// nothing is to be done. An error means that the result would violate a
// placement rule and must not be written.
func Plan(input *Input, policy Policy) (Result, error) {
	input.Limits.setDefaults()
	d := newDraft(input)
	s := &PlanState{input: input, draft: d}
	d.finishDrained()
	d.promote()
	d.withdrawLeaving()
	d.withdrawUndesired()
	s.shortages = d.shortages()
	s.rollOut(policy)
	s.repair(policy)
	if !d.changed {
		return Result{Next: input.Current}, nil
	}
	if err := verify(input, &d.next); err != nil {
		return Result{Next: input.Current}, err
	}
	return Result{Next: d.next, Changed: true, Loads: d.loads, Reasons: d.reasons}, nil
}

// finishDrained removes or re-forms withdrawn groups that are drained. Those
// that lack members are left to repair.
func (d *draft) finishDrained() {
	for _, g := range slices.Clone(d.next.Groups) {
		if g.Phase != fleet.PhaseWithdrawn || !d.drained(&g) {
			continue
		}
		service, wanted := d.desired(&g)
		vacant, _, _ := d.vacancies(&g)
		switch {
		case !wanted:
			d.remove(g.Name, "not configured with this service and size")
		case len(vacant) > 0:
		case service.Version == g.Version:
			d.remove(g.Name, "its instances are needed elsewhere")
		case d.loadsLeft > 0 || d.countLoads(&g, &service) == 0:
			d.form(fleet.Group{Name: g.Name, Size: len(g.Members)}, &service, nil, nil)
		}
	}
}

// countLoads returns the number of members that must load the service's weights.
func (d *draft) countLoads(g *fleet.PlacedGroup, service *fleet.Service) int {
	count := 0
	for _, m := range g.Members {
		view := d.input.Instances[m.Instance]
		count += loadsNeeded(&view.Report, service)
	}
	return count
}

// drained reports whether a withdrawn group has no requests in flight or its
// drain time is over. A member without evidence for the repair delay is not
// waited for.
func (d *draft) drained(g *fleet.PlacedGroup) bool {
	before := d.input.Current.Group(g.Name)
	if before == nil || before.Phase != fleet.PhaseWithdrawn {
		// If this plan withdrew the group, its age is that of the previous phase.
		return false
	}
	age := d.input.GroupAge[g.Generation]
	if age < d.input.Limits.MinDrain {
		return false
	}
	if age >= d.drainLimit(g.Service) {
		return true
	}
	for _, m := range g.Members {
		view := d.input.Instances[m.Instance]
		if view.Fresh && view.Report.Running > 0 || !view.Fresh && view.LostFor < d.input.Limits.RepairDelay {
			return false
		}
	}
	return true
}

// drainLimit returns the longest time for which a withdrawn group of a service is drained:
// at least that of a request. The time limit of a withdrawn service is unknown.
func (d *draft) drainLimit(name string) time.Duration {
	request := fleet.MaxTimeout
	if service, found := d.input.Services[name]; found {
		request = cmp.Or(time.Duration(service.TimeoutMs)*time.Millisecond, fleet.DefaultCompletionTimeout)
	}
	return max(d.input.Limits.DrainAllowance, request)
}

// promote changes the phase of forming groups to serving once all members have
// reported that they are ready in their roles.
func (d *draft) promote() {
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		if g.Phase != fleet.PhaseForming {
			continue
		}
		filled := 0
		for rank, m := range g.Members {
			view := d.input.Instances[m.Instance]
			if view.Fresh && view.Report.Fills(g, rank) {
				filled++
			}
		}
		if filled == len(g.Members) {
			g.Phase = fleet.PhaseServing
			d.recordChange("group %s generation %d serves", g.Name, g.Generation)
		}
	}
}

// withdrawLeaving stops new work for groups with a leaving member at once,
// because a leaving backend server must receive none.
func (d *draft) withdrawLeaving() {
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		leaving := func(m fleet.GroupMember) bool {
			view := d.input.Instances[m.Instance]
			return view.leaving()
		}
		if g.Phase != fleet.PhaseWithdrawn && slices.ContainsFunc(g.Members, leaving) {
			d.withdraw(g, "a member is leaving")
		}
	}
}

// withdrawing reports whether a group of the service is withdrawn.
func (d *draft) withdrawing(service string) bool {
	return slices.ContainsFunc(d.next.Groups, func(g fleet.PlacedGroup) bool {
		return g.Service == service && g.Phase == fleet.PhaseWithdrawn
	})
}

// withdrawUndesired withdraws groups that are not configured with their service
// and size, one per service at a time.
func (d *draft) withdrawUndesired() {
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		if g.Phase == fleet.PhaseWithdrawn || d.withdrawing(g.Service) {
			continue
		}
		if _, wanted := d.desired(g); !wanted {
			d.withdraw(g, "not configured with this service and size")
		}
	}
}

// vacancies returns the ranks whose members must be replaced, the longest time
// that one of these members has been without evidence, and whether all of them
// will certainly not come back. The rank of a member that is missing from the
// instance list is not vacant while its reports are fresh. Members that were
// lost for less than half the repair delay are left out: that is the shortest
// delay after which any policy acts.
func (d *draft) vacancies(g *fleet.PlacedGroup) (ranks []int, lostFor time.Duration, permanent bool) {
	permanent = true
	for rank, m := range g.Members {
		view := d.input.Instances[m.Instance]
		gone := view.leaving() || view.UnfilledFor >= d.input.Limits.FormingAllowance
		lost := !view.Fresh && view.LostFor >= d.input.Limits.RepairDelay/2
		if !gone && !lost {
			continue
		}
		ranks = append(ranks, rank)
		lostFor = max(lostFor, view.LostFor)
		permanent = permanent && gone
	}
	return ranks, lostFor, permanent && len(ranks) > 0
}

// shortages returns the configured groups that lack instances, ordered by
// descending priority, then by the number of vacant ranks, then by name.
func (d *draft) shortages() []Shortage {
	var found []Shortage
	for _, c := range d.input.Groups {
		service, known := d.input.Services[c.Service]
		if !known || service.Kind != fleet.KindModel || c.Size <= 0 {
			continue
		}
		if short, ok := d.shortage(c, service); ok {
			found = append(found, short)
		}
	}
	slices.SortFunc(found, func(a, b Shortage) int {
		return cmp.Or(cmp.Compare(b.Service.Priority, a.Service.Priority),
			cmp.Compare(len(a.Vacant), len(b.Vacant)), cmp.Compare(a.Group.Name, b.Group.Name))
	})
	return found
}

// shortage returns the shortage of a configured group, and whether it has one.
func (d *draft) shortage(c fleet.Group, service fleet.Service) (Shortage, bool) {
	short := Shortage{Group: c, Service: service}
	g := d.next.Group(c.Name)
	if g == nil {
		for rank := range c.Size {
			short.Vacant = append(short.Vacant, rank)
		}
		return short, true
	}
	if _, wanted := d.desired(g); !wanted || (g.Phase == fleet.PhaseWithdrawn && !d.drained(g)) {
		return short, false
	}
	short.Placed = true
	short.Vacant, short.LostFor, short.Permanent = d.vacancies(g)
	// The lost members of a drained group are not waited for, because the
	// remaining members are idle.
	short.Permanent = short.Permanent || g.Phase == fleet.PhaseWithdrawn
	return short, len(short.Vacant) > 0
}

// rollOut withdraws one group of each service that runs a version other than the
// configured one. The next group follows once the previous one serves again or
// cannot be formed. Incomplete groups come first, because withdrawing them costs
// no downtime.
func (s *PlanState) rollOut(policy Policy) {
	var outdated []*fleet.PlacedGroup
	for i := range s.draft.next.Groups {
		g := &s.draft.next.Groups[i]
		service, wanted := s.draft.desired(g)
		if wanted && g.Phase != fleet.PhaseWithdrawn && g.Version != service.Version {
			outdated = append(outdated, g)
		}
	}
	// sortKey is 0 for forming and incomplete groups, else 1.
	sortKey := func(g *fleet.PlacedGroup) int {
		if g.Phase == fleet.PhaseForming || slices.ContainsFunc(s.shortages, func(x Shortage) bool { return x.Group.Name == g.Name }) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(outdated, func(a, b *fleet.PlacedGroup) int { return cmp.Compare(sortKey(a), sortKey(b)) })
	for _, g := range outdated {
		if service := s.input.Services[g.Service]; !s.rolloutInProgress(&service, policy) {
			s.draft.withdraw(g, "version "+service.Version+" is configured")
		}
	}
}

// rolloutInProgress reports whether a group of the service is being withdrawn or
// formed, or will be formed soon.
func (s *PlanState) rolloutInProgress(service *fleet.Service, policy Policy) bool {
	if s.draft.withdrawing(service.Name) {
		return true
	}
	for i := range s.draft.next.Groups {
		g := &s.draft.next.Groups[i]
		if g.Service == service.Name && g.Phase == fleet.PhaseForming && g.Version == service.Version {
			return true
		}
	}
	for i := range s.shortages {
		shortage := &s.shortages[i]
		if shortage.Service.Name != service.Name || shortage.Placed {
			continue
		}
		if policy.Decide(s, shortage).Kind == ActionFill || (!s.CanFill(shortage) && s.SupplyPending(shortage)) {
			return true
		}
	}
	return false
}

// repair applies the policy's decision to each shortage. A withdrawn group is
// not completed while a group of a higher priority waits for its members.
func (s *PlanState) repair(policy Policy) {
	// awaitedPools holds the pools from which a group waits for instances.
	awaitedPools := make(map[string]bool)
	for i := range s.shortages {
		short := &s.shortages[i]
		g := s.draft.next.Group(short.Group.Name)
		if g != nil && g.Phase == fleet.PhaseWithdrawn && !s.draft.drained(g) {
			continue
		}
		action := policy.Decide(s, short)
		switch {
		case g != nil && g.Phase == fleet.PhaseWithdrawn && s.draft.removedWhenDrained(g) && awaitedPools[short.Service.Pool]:
		case action.Kind == ActionFill && s.CanFill(short):
			chosen := s.candidates(short)[:len(short.Vacant)]
			s.draft.form(short.Group, &short.Service, short.Vacant, chosen)
			continue
		case action.Kind == ActionWithdraw:
			victim := s.draft.next.Group(action.Victim)
			if victim != nil && victim.Phase != fleet.PhaseWithdrawn {
				s.draft.withdraw(victim, "group "+short.Group.Name+" needs its instances")
			}
		case action.Kind == ActionWait && s.FreeCount(short) < len(short.Vacant) && s.SupplyPending(short):
			awaitedPools[short.Service.Pool] = true
		}
		if g != nil && g.Phase == fleet.PhaseWithdrawn {
			s.draft.remove(g.Name, "drained and incomplete")
		}
	}
}
