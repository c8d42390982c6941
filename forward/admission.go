package forward

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/estimate"
)

const (
	// shortageRatio is the ratio of arrivals to the requests that the engines of a pool can
	// answer on time from which there is a shortage.
	shortageRatio = 0.95
	// reportRatio is the fraction of the slots of a pool from which its arrivals are reported
	// to the other nodes.
	reportRatio = 0.6
	// callerTime is the time that requests and responses take between caller and node.
	callerTime = 10 * time.Millisecond
	// deviationMargin multiplies the usual deviation of estimates, by which a request must be
	// expected before its goal.
	deviationMargin = 0.5
	// lateChance multiplies the chance of a request that is late already.
	lateChance = 0.2
	// maxReturnFactor bounds how much later callers return during a shortage.
	maxReturnFactor = 3
)

// admission is what the engines of a pool are expected to do for a request, by candidate.
type admission struct {
	engines []estimate.Engine
	loads   []estimate.Load
	// sendRates are the requests per second that all nodes may send to the candidates.
	sendRates []float64
	// rate is their sum, and arrivals the requests per second that arrive at all nodes.
	rate, arrivals float64
	// paces are the factors of observed to estimated times at the candidates.
	paces []float64
	// usual is the time from a free slot to the first event for a prompt of usual length.
	usual time.Duration
	ranks *estimate.Ranks
	// promptTokens is the usual length of a prompt.
	promptTokens float64
}

// shortage reports whether more requests arrive than the engines can answer on time.
func (a *admission) shortage() bool { return a != nil && a.arrivals > shortageRatio*a.rate }

// newAdmission returns the admission of a pool, or nil if nothing is known of its engines or of
// its requests. The caller holds the lock.
func (d *Dispatcher) newAdmission(p Pool, s *candidateSet, now time.Time) *admission {
	e, found := d.tables.Load().engines[p]
	t := d.trafficOf(p)
	if !found || !e.profile.PredictsFirstEvent() || !t.urgency.known || len(s.targets) == 0 {
		return nil
	}
	lengths := estimate.Lengths{PromptTokens: t.promptTokens.value, Events: t.eventCount(e.profile.StepsPerEvent)}
	if lengths.Events <= 0 {
		return nil
	}
	a := &admission{ranks: &t.ranks, promptTokens: t.promptTokens.value,
		paces: make([]float64, len(s.targets)), engines: make([]estimate.Engine, len(s.targets)), loads: make([]estimate.Load, len(s.targets)), sendRates: make([]float64, len(s.targets))}
	goal := time.Duration(float64(time.Second) / t.urgency.value)
	within := goal - callerTime - time.Duration(deviationMargin*float64(t.correction.Deviation()))
	a.usual = never
	for i, target := range s.targets {
		c := &s.candidates[i]
		a.paces[i] = t.correction.Pace() * target.Load.correction.Pace(now)
		engine := estimate.Engine{Profile: e.profile, Slots: target.Slots, Lengths: lengths, TimeFactor: target.TimeFactor * a.paces[i], Delay: t.correction.Delay(),
			WaitFactor: t.correction.WaitFactor()}
		if !t.correction.Known() {
			engine.Delay = max(firstEventTime-engine.FirstEvent(estimate.Load{}, a.promptTokens), 0)
		}
		a.engines[i], a.loads[i] = engine, engineLoad(engine, c, target)
		c.FirstEvent = engine.FirstEvent(a.loads[i], a.promptTokens)
		if c.Excluded || c.RecentlyFailed {
			continue
		}
		a.sendRates[i] = engine.SendRate(c.Requests, engine.Level(within, d.peers.ReportAge())) * c.trust()
		a.rate += a.sendRates[i]
		a.usual = min(a.usual, engine.FirstEvent(estimate.Load{Requests: min(c.Requests, float64(target.Slots-1))}, a.promptTokens))
	}
	t.decay(now)
	a.arrivals = t.arrivalRate + d.peers.ArrivalRate(p.Service, p.Model)
	return a
}

// engineLoad returns the load of a target. The prompts that other nodes have sent and that
// aren't read yet are estimated from the rate at which the target completes requests.
func engineLoad(e estimate.Engine, c *Candidate, t *Target) estimate.Load {
	others := max(c.Requests-float64(t.Load.Running()), 0)
	unread := others / max(c.Requests, 1) * e.UnreadTokens(c.Requests)
	return estimate.Load{Requests: c.Requests, UnreadTokens: c.PromptTokens + unread}
}

// firstEvent returns the estimated time to the first event of a waiter at a candidate.
func (a *admission) firstEvent(i int, w *waiter) time.Duration {
	return a.engines[i].FirstEvent(a.loads[i], float64(w.promptTokens))
}

// admit returns an error if a request is better refused at once, so that the engines answer
// others on time. The caller holds the lock.
func (d *Dispatcher) admit(r SlotRequest, s *candidateSet, now time.Time) error {
	a := s.admission
	if a == nil || r.Begun || len(r.Avoid) > 0 {
		return nil
	}
	a.ranks.Add(r.Rank, now)
	if !a.shortage() {
		return nil
	}
	chance := a.ranks.Chance(r.Rank, a.rate/a.arrivals)
	if a.late(r, now) {
		chance *= lateChance
	}
	if rand.Float64() < chance {
		return nil
	}
	d.trafficOf(r.Pool).recordRefusal(now)
	return a.refusal()
}

// late reports whether a request has lost so much time that it would be late at any target. A
// goal that is too short for these engines makes no request late.
func (a *admission) late(r SlotRequest, now time.Time) bool {
	left := r.GoalAt.Sub(now)
	return left < callerTime+a.usual && left < r.Goal/2
}

// refusal returns the error for a request that isn't admitted.
func (a *admission) refusal() error {
	factor := min(a.arrivals/max(a.rate, 1), maxReturnFactor)
	return &refusedError{retryAfter: jitter(time.Duration(factor * float64(fullRetry))), notAdmitted: true,
		err: fmt.Errorf("%w: the engines can answer %.1f requests per second on time, and %.1f arrive", ErrFull, a.rate, a.arrivals)}
}

// choose returns the index of a candidate, chosen at random in proportion to the requests that
// all nodes may send there, or -1. The reports of other nodes are too old to choose the least
// loaded one: all nodes would choose the same.
func (a *admission) choose(candidates []Candidate, w *waiter) int {
	onTime, all := 0.0, 0.0
	for i := range candidates {
		if rate := a.rateFor(i, &candidates[i]); rate > 0 {
			all += rate
			if a.gapOnTime(i, w) {
				onTime += rate
			}
		}
	}
	draw, best := rand.Float64()*all, -1
	if onTime > 0 {
		draw = rand.Float64() * onTime
	}
	for i := range candidates {
		rate := a.rateFor(i, &candidates[i])
		if rate <= 0 || (onTime > 0 && !a.gapOnTime(i, w)) {
			continue
		}
		best = i
		if draw -= rate; draw < 0 {
			break
		}
	}
	return best
}

func (a *admission) rateFor(i int, c *Candidate) float64 {
	if c.Excluded || (c.Throttled && c.Permits < 1) {
		return 0
	}
	return a.sendRates[i]
}

// gapOnTime reports whether the prompt of a waiter delays no event of the requests that run at
// a candidate for too long.
func (a *admission) gapOnTime(i int, w *waiter) bool {
	return w.eventGap <= 0 || a.engines[i].EventGap(a.loads[i], float64(w.promptTokens)) <= w.eventGap
}

// usualFirstEvent returns the estimated time from a free slot to the first event; 0 if unknown.
func (a *admission) usualFirstEvent() time.Duration {
	if a == nil || a.usual == never {
		return 0
	}
	return a.usual
}

// assign records the estimate for a waiter that gets a slot at a candidate.
func (a *admission) assign(i int, w *waiter) {
	if a == nil {
		return
	}
	e := a.engines[i]
	w.estimate = slotEstimate{firstEvent: a.firstEvent(i, w), delay: e.Delay, wait: e.SlotWait(a.loads[i].Requests), eventTime: e.EventTime(a.loads[i].Requests + 1),
		waitFactor: e.WaitFactor, pace: a.paces[i]}
	a.loads[i].Requests++
	a.loads[i].UnreadTokens += float64(w.promptTokens)
}

// Priorities of requests at engines, which admit lower ones first.
const (
	// begunPriority is that of streams that their caller has a part of.
	begunPriority = 0
	// latePriority is that of requests that are late already.
	latePriority = 9
	// prioritySlack is the spare time to the goal that makes one priority.
	prioritySlack = 50 * time.Millisecond
)

// enginePriority returns the priority at the engine of a waiter that is assigned now: those
// that are nearest to their goal come first.
func enginePriority(w *waiter, now time.Time) int {
	if w.estimate.firstEvent <= 0 {
		return noEnginePriority
	}
	spare := w.key.GoalAt.Sub(now) - w.estimate.firstEvent - callerTime
	switch {
	case w.key.Begun:
		return begunPriority
	case w.key.late(now):
		return latePriority
	}
	return begunPriority + 1 + min(max(int(spare/prioritySlack), 0), latePriority-begunPriority-2)
}

// slotEstimate is what is expected of a request at its target; zero if that is unknown.
type slotEstimate struct {
	// firstEvent is the time to the first event, including the delay and the wait for a slot.
	firstEvent, delay, wait time.Duration
	// eventTime is the time between two events, including the factor pace.
	eventTime time.Duration
	// waitFactor and pace are the corrections that the estimate contains.
	waitFactor, pace float64
}

// RecordFirstEvent records that the first event of the response has arrived, and returns the
// estimated and the observed time to it.
func (s *Slot) RecordFirstEvent(now time.Time) (estimated, observed time.Duration) {
	s.PromptRead()
	s.firstEventAt = now
	observed = now.Sub(s.acquiredAt)
	if s.estimate.firstEvent > 0 {
		d := s.dispatcher
		d.mu.Lock()
		defer d.mu.Unlock()
		expected := time.Duration(float64(s.estimate.wait) / s.estimate.waitFactor)
		d.trafficOf(s.Pool).correction.ObserveFirstEvent(s.estimate.firstEvent-s.estimate.delay-s.estimate.wait, expected, observed)
	}
	return s.estimate.firstEvent, observed
}

// minPaceEvents is the number of events from which a response tells the pace of its target.
const minPaceEvents = 4

// RecordEvents records the number of events of the response, of which the last one arrived now.
func (s *Slot) RecordEvents(events int, now time.Time) {
	if s.estimate.firstEvent <= 0 || s.firstEventAt.IsZero() || events < minPaceEvents {
		return
	}
	expected := time.Duration(events-1) * s.estimate.eventTime
	ratio := s.estimate.pace * float64(now.Sub(s.firstEventAt)) / float64(expected)
	d := s.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := &d.trafficOf(s.Pool).correction
	s.Load.correction.ObservePace(ratio/pool.Pace(), now)
	pool.ObservePace(ratio)
}

// reportArrivals adds the arrivals at pools of which most slots are taken. The caller holds the
// lock.
func (d *Dispatcher) reportArrivals(rates map[Pool]float64, now time.Time) {
	for p := range d.tables.Load().engines {
		requests, slots := 0, 0
		for _, t := range d.tables.Load().Targets(p) {
			requests += t.Load.Running() + d.peers.Running(t.Instance.ID)
			slots += t.Slots
		}
		if t := d.traffic[p]; t != nil && rates[p] == 0 && float64(requests) > reportRatio*float64(slots) {
			t.decay(now)
			rates[p] = t.arrivalRate
		}
	}
}
