package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Plan returns the placement that follows from the observed state, or the
// current one if nothing is to be done. An error means that the result would
// break a placement rule and must not be written.
func Plan(in *Input, policy Policy) (Result, error) {
	in.Limits.setDefaults()
	d := newDraft(in)
	s := &Situation{in: in, draft: d}
	d.finishDrained()
	d.promote()
	d.withdrawLeaving()
	d.withdrawUndesired()
	s.short = d.shortages()
	s.rollOut(policy)
	s.repair(policy)
	if !d.changed {
		return Result{Next: in.Current}, nil
	}
	if err := verify(in, &d.next); err != nil {
		return Result{Next: in.Current}, err
	}
	return Result{Next: d.next, Changed: true, Loads: d.loads, Reasons: d.reasons}, nil
}

// finishDrained removes or re-forms withdrawn groups on which nothing runs. One
// that lacks members is left to the repair.
func (d *draft) finishDrained() {
	for _, g := range slices.Clone(d.next.Groups) {
		if g.Phase != fleet.PhaseWithdrawn || !d.drained(&g) {
			continue
		}
		service, wanted := d.desired(&g)
		vacant, _, _ := d.vacancies(&g)
		switch {
		case !wanted:
			d.remove(g.Name, "not configured in this form")
		case len(vacant) > 0:
		case service.Version == g.Version:
			d.remove(g.Name, "its instances are needed elsewhere")
		case d.loadsLeft > 0 || d.missingLoads(&g, &service) == 0:
			d.form(fleet.Group{Name: g.Name, Size: len(g.Members)}, &service, nil, nil)
		}
	}
}

func (d *draft) missingLoads(g *fleet.PlacedGroup, service *fleet.Service) int {
	count := 0
	for _, m := range g.Members {
		view := d.in.Instances[m.Instance]
		count += lacks(&view.Report, service)
	}
	return count
}

// drained tells whether nothing runs on a withdrawn group. A member without
// evidence for the repair delay is not waited for.
func (d *draft) drained(g *fleet.PlacedGroup) bool {
	before := d.in.Current.Group(g.Name)
	if before == nil || before.Phase != fleet.PhaseWithdrawn {
		// Withdrawn by this plan: the age is that of the phase before.
		return false
	}
	age := d.in.GroupAge[g.Generation]
	if age < d.in.Limits.MinDrain {
		return false
	}
	service := d.in.Services[g.Service]
	if age >= max(d.in.Limits.DrainAllowance, time.Duration(service.TimeoutMs)*time.Millisecond) {
		return true
	}
	for _, m := range g.Members {
		view := d.in.Instances[m.Instance]
		if view.Fresh && view.Report.Running > 0 || !view.Fresh && view.LostFor < d.in.Limits.RepairDelay {
			return false
		}
	}
	return true
}

// promote turns forming groups whose members all reported their role into
// serving ones.
func (d *draft) promote() {
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		if g.Phase != fleet.PhaseForming {
			continue
		}
		filled := 0
		for rank, m := range g.Members {
			view := d.in.Instances[m.Instance]
			if view.Fresh && view.Report.Fills(g, rank) {
				filled++
			}
		}
		if filled == len(g.Members) {
			g.Phase = fleet.PhaseServing
			d.note("group %s generation %d serves", g.Name, g.Generation)
		}
	}
}

// withdrawLeaving stops new work for groups with a leaving member at once,
// because a leaving backend server must receive none.
func (d *draft) withdrawLeaving() {
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		leaving := func(m fleet.GroupMember) bool {
			view := d.in.Instances[m.Instance]
			return view.leaving()
		}
		if g.Phase != fleet.PhaseWithdrawn && slices.ContainsFunc(g.Members, leaving) {
			d.withdraw(g, "a member is leaving")
		}
	}
}

// withdrawing tells whether a group of the service is withdrawn.
func (d *draft) withdrawing(service string) bool {
	return slices.ContainsFunc(d.next.Groups, func(g fleet.PlacedGroup) bool {
		return g.Service == service && g.Phase == fleet.PhaseWithdrawn
	})
}

// withdrawUndesired withdraws groups that the configuration does not hold in
// this form, one per service at a time.
func (d *draft) withdrawUndesired() {
	for i := range d.next.Groups {
		g := &d.next.Groups[i]
		if g.Phase == fleet.PhaseWithdrawn || d.withdrawing(g.Service) {
			continue
		}
		if _, wanted := d.desired(g); !wanted {
			d.withdraw(g, "not configured in this form")
		}
	}
}

// vacancies returns the ranks whose member must be replaced, the longest
// silence among them, and whether all of them will certainly not come back. A
// member that is missing from the instance list is not vacant while its reports
// are fresh. Short silences are left out: half the repair delay is the shortest
// that any policy acts on.
func (d *draft) vacancies(g *fleet.PlacedGroup) (ranks []int, silent time.Duration, prompt bool) {
	prompt = true
	for rank, m := range g.Members {
		view := d.in.Instances[m.Instance]
		gone := view.leaving() || view.UnfilledFor >= d.in.Limits.FormingAllowance
		lost := !view.Fresh && view.LostFor >= d.in.Limits.RepairDelay/2
		if !gone && !lost {
			continue
		}
		ranks = append(ranks, rank)
		silent = max(silent, view.LostFor)
		prompt = prompt && gone
	}
	return ranks, silent, prompt && len(ranks) > 0
}

// shortages returns the configured groups that lack instances: the most needed
// service first, then the ones that lack fewest.
func (d *draft) shortages() []Shortage {
	var found []Shortage
	for _, c := range d.in.Groups {
		service, known := d.in.Services[c.Service]
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
	short.Vacant, short.Silent, short.Prompt = d.vacancies(g)
	// A drained group with vacancies is not waited for: its members stand idle.
	short.Prompt = short.Prompt || g.Phase == fleet.PhaseWithdrawn
	return short, len(short.Vacant) > 0
}

// rollOut withdraws one group of each service that runs another version than
// configured. The next one follows when the one before serves again or cannot
// be formed. Broken groups come first, because withdrawing them costs nothing.
func (s *Situation) rollOut(policy Policy) {
	var old []*fleet.PlacedGroup
	for i := range s.draft.next.Groups {
		g := &s.draft.next.Groups[i]
		service, wanted := s.draft.desired(g)
		if wanted && g.Phase != fleet.PhaseWithdrawn && g.Version != service.Version {
			old = append(old, g)
		}
	}
	broken := func(g *fleet.PlacedGroup) int {
		if g.Phase == fleet.PhaseForming || slices.ContainsFunc(s.short, func(x Shortage) bool { return x.Group.Name == g.Name }) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(old, func(a, b *fleet.PlacedGroup) int { return cmp.Compare(broken(a), broken(b)) })
	for _, g := range old {
		if service := s.in.Services[g.Service]; !s.rolling(&service, policy) {
			s.draft.withdraw(g, "version "+service.Version+" is configured")
		}
	}
}

// rolling tells whether a group of the service is being withdrawn or formed, or
// will be formed soon.
func (s *Situation) rolling(service *fleet.Service, policy Policy) bool {
	if s.draft.withdrawing(service.Name) {
		return true
	}
	for i := range s.draft.next.Groups {
		g := &s.draft.next.Groups[i]
		if g.Service == service.Name && g.Phase == fleet.PhaseForming && g.Version == service.Version {
			return true
		}
	}
	for i := range s.short {
		short := &s.short[i]
		if short.Service.Name != service.Name || short.Placed {
			continue
		}
		if policy.Decide(s, short).Kind == ActionFill || (!s.CanFill(short) && s.SupplyComing(short)) {
			return true
		}
	}
	return false
}

// repair lets the policy decide on each shortage and carries out its actions. A
// withdrawn group is not completed while a more needed one waits for its members.
func (s *Situation) repair(policy Policy) {
	awaited := make(map[string]bool) // by pool
	for i := range s.short {
		short := &s.short[i]
		g := s.draft.next.Group(short.Group.Name)
		if g != nil && g.Phase == fleet.PhaseWithdrawn && !s.draft.drained(g) {
			continue
		}
		action := policy.Decide(s, short)
		switch {
		case g != nil && g.Phase == fleet.PhaseWithdrawn && s.draft.leaves(g) && awaited[short.Service.Pool]:
		case action.Kind == ActionFill && s.CanFill(short):
			chosen := s.candidates(short)[:len(short.Vacant)]
			s.draft.form(short.Group, &short.Service, short.Vacant, chosen)
			continue
		case action.Kind == ActionBreak:
			victim := s.draft.next.Group(action.Victim)
			if victim != nil && victim.Phase != fleet.PhaseWithdrawn {
				s.draft.withdraw(victim, "group "+short.Group.Name+" needs its instances")
			}
		case action.Kind == ActionWait && s.Free(short) < len(short.Vacant) && s.SupplyComing(short):
			awaited[short.Service.Pool] = true
		}
		if g != nil && g.Phase == fleet.PhaseWithdrawn {
			s.draft.remove(g.Name, "drained and not complete")
		}
	}
}
