package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/throttle"
)

// candidateSet is the state of all targets of a pool at one moment.
type candidateSet struct {
	targets    []*Target
	candidates []Candidate
	// rates are the permits per second that this node gets at throttled targets.
	rates []float64
	// heldUntil are the times at which the targets take requests of this node again.
	heldUntil []time.Time
	throttle  *throttle.Registry
	// unreported is the expected number of requests of all nodes that the reports don't
	// show yet.
	unreported float64
	// evacuated is true if there are targets, but all in evacuated failure domains.
	evacuated bool
	// admission is nil if the times to the first event can't be estimated.
	admission *admission
}

// candidates returns the candidates of a pool. The caller holds the lock.
func (d *Dispatcher) candidates(p Pool) *candidateSet {
	table := d.tables.Load()
	f := &candidateSet{targets: table.Targets(p), throttle: d.throttle, evacuated: table.isEvacuated(p)}
	now := time.Now()
	f.unreported = d.unreported(p, now)
	f.candidates, f.rates, f.heldUntil = make([]Candidate, len(f.targets)), make([]float64, len(f.targets)), make([]time.Time, len(f.targets))
	demand := d.throttleDemand(p, now)
	assessments := make([]suspicion.Assessment, len(f.targets))
	for i, t := range f.targets {
		assessments[i] = d.assess(t, now)
		allowance := d.throttle.Allowance(t.Server, demand)
		f.rates[i], f.heldUntil[i] = allowance.NodeRate, allowance.HeldUntil
		f.candidates[i] = Candidate{
			Requests:       float64(t.Load.Running() + d.peers.Running(t.Instance.ID)),
			PromptTokens:   float64(t.Load.unreadPrompts.Load()),
			Slots:          t.Slots,
			Throttled:      allowance.Limited,
			Permits:        allowance.Permits,
			Cold:           allowance.Cold,
			Ahead:          d.peers.Ahead(p.Model, t.Instance.ID),
			SameDomain:     t.Instance.FailureDomain == d.failureDomain,
			Excluded:       !d.isEligible(t, assessments[i], now) || allowance.Leaving || now.Before(allowance.HeldUntil),
			Slow:           t.Slowness > 1 || t.Withdrawing,
			RecentlyFailed: assessments[i].Held,
		}
	}
	f.weigh(assessments)
	f.admission = d.newAdmission(p, f, now)
	return f
}

// pick chooses a target for a waiter and counts the request there, or returns nil. The
// caller holds the lock.
func (s *candidateSet) pick(w *waiter) *Target {
	if len(s.targets) == 0 {
		return nil
	}
	candidates := s.candidates
	if len(w.avoid) > 0 {
		candidates = slices.Clone(candidates)
		for i, t := range s.targets {
			candidates[i].Excluded = candidates[i].Excluded || w.avoid[t.Instance.ID]
		}
	}
	if w.once {
		candidates = preferSound(candidates)
	}
	best := s.choose(candidates, w)
	if best < 0 {
		return nil
	}
	s.admission.assign(best, w)
	s.candidates[best].Requests++
	s.candidates[best].PromptTokens += float64(w.promptTokens)
	s.candidates[best].Permits--
	s.throttle.Use(s.targets[best].Server)
	load := s.targets[best].Load
	load.running.Add(1)
	if w.trial = s.candidates[best].Trial; w.trial {
		load.trials.Add(1)
		s.candidates[best].Excluded = true
	}
	load.unreadPrompts.Add(int64(w.promptTokens))
	return s.targets[best]
}

// choose returns the index of the candidate for a waiter, or -1. During a shortage the estimates
// decide. A stream that its caller has a part of takes the least loaded target even then.
func (s *candidateSet) choose(candidates []Candidate, w *waiter) int {
	if s.admission.shortage() && !w.key.Begun {
		return s.admission.choose(candidates, w)
	}
	return Choose(candidates, s.unreported, rand.IntN)
}

// isEligible reports whether requests may be sent to a target at all. A stalled group
// delays every request, while a plain server that failed one request may well serve
// the next.
func (d *Dispatcher) isEligible(t *Target, a suspicion.Assessment, now time.Time) bool {
	if t.Pool.Model == "" {
		return true
	}
	return !a.Held && d.hasAllMembers(t, now)
}

// hasAllMembers reports whether all members of a target are working. A member that is
// no longer listed works as long as the group sends events, since a group makes no
// progress without it. This handles members that have lost only their connection to the
// platform's store.
func (d *Dispatcher) hasAllMembers(t *Target, now time.Time) bool {
	return !t.MemberUnlisted || t.Load.HasRecentProgress(now) || d.peers.Progress(t.Instance.ID)
}

// unreported returns the number of requests that all nodes are expected to send to a
// pool within the age of their reports. The caller holds the lock.
func (d *Dispatcher) unreported(p Pool, now time.Time) float64 {
	holdTime := d.trafficOf(p).holdTime
	if holdTime <= 0 {
		return 0
	}
	_, demand := d.slotsAndDemand(p, now)
	return demand * d.peers.ReportAge().Seconds() / holdTime.Seconds()
}

// slotsAndDemand returns the number of usable slots of a pool's targets, where a target counts
// by the part of the requests that it is expected to answer, and the number of slots that the
// requests of all nodes would occupy. For plain services nodes report only the slots that they
// hold. The caller holds the lock.
func (d *Dispatcher) slotsAndDemand(p Pool, now time.Time) (slots int, demand float64) {
	demand = d.demand(p, now) + d.peers.Demand(p.Model)
	answering := 0.0
	for _, t := range d.tables.Load().Targets(p) {
		if a := d.assess(t, now); a.Untested {
			answering++
		} else {
			answering += float64(d.usableSlots(t)) * a.Trust
		}
		if p.Model == "" {
			demand += float64(d.peers.Running(t.Instance.ID))
		}
	}
	return int(math.Round(answering)), demand
}
