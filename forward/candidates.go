package forward

import (
	"math/rand/v2"
	"slices"
	"time"

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
	// admission is nil if the times to the first event can't be estimated.
	admission *admission
}

// candidates returns the candidates of a pool. The caller holds the lock.
func (d *Dispatcher) candidates(p Pool) *candidateSet {
	f := &candidateSet{targets: d.tables.Load().Targets(p), throttle: d.throttle}
	now := time.Now()
	f.unreported = d.unreported(p, now)
	f.candidates, f.rates, f.heldUntil = make([]Candidate, len(f.targets)), make([]float64, len(f.targets)), make([]time.Time, len(f.targets))
	demand := d.throttleDemand(p, now)
	for i, t := range f.targets {
		allowance := d.throttle.Allowance(t.Server, demand)
		f.rates[i], f.heldUntil[i] = allowance.Rate*demand.Share, allowance.HeldUntil
		f.candidates[i] = Candidate{
			Requests:       float64(t.Load.Running() + d.peers.Running(t.Instance.ID)),
			PromptTokens:   float64(t.Load.unreadPrompts.Load()),
			Slots:          t.Slots,
			Throttled:      allowance.Limited,
			Permits:        allowance.Permits,
			Ahead:          d.peers.Ahead(p.Model, t.Instance.ID),
			SameDomain:     t.Instance.FailureDomain == d.failureDomain,
			Excluded:       !d.isEligible(t, now) || allowance.Leaving || now.Before(allowance.HeldUntil),
			Slow:           t.Slowness > 1,
			RecentlyFailed: t.Load.Suspected(now),
		}
	}
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
func (d *Dispatcher) isEligible(t *Target, now time.Time) bool {
	if t.Pool.Model == "" {
		return true
	}
	return !t.Load.Suspected(now) && !d.peers.Suspected(t.Instance.ID) && d.hasAllMembers(t, now)
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
