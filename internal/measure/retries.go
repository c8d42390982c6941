package measure

import (
	"context"
	"math/rand/v2"

	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Simulated load, in milliseconds of simulated time: 15 groups that each run 8
// requests of 400 ms, at 70 % of their capacity.
const (
	retriesGroups      = 15
	retriesSlots       = 8    // concurrent requests of a group
	retriesServiceTime = 400  // mean time of a request
	retriesArrivalRate = 0.21 // requests per millisecond
	retriesQueueLimit  = 64   // of a group
	retriesDeadline    = 5000 // of a request, from its arrival
	retriesFaultFrom   = 20000
	retriesFaultTo     = 30000
	retriesEnd         = 80000
	retriesWindow      = 1000 // over which figures are counted
	// retriesDetectionTime is the time for which a lost group is still chosen.
	retriesDetectionTime = 1600
)

// retriesPolicy decides whether a failed request is retried and after which delay.
type retriesPolicy struct {
	name     string
	budget   *retry.Budget
	attempts int
}

// retriesRequest is a request with the time of its arrival and of its next step.
type retriesRequest struct{ arrived, attempt, due, group int }

// retriesSim simulates a fixed offered load on groups with a queue each.
type retriesSim struct {
	policy retriesPolicy
	random *rand.Rand
	// lostGroups is the number of groups that are lost during the fault.
	lostGroups int
	// failing makes all groups fail their requests during the fault.
	failing bool
	waiting []retriesRequest
	queues  [retriesGroups][]retriesRequest
	running [retriesGroups][]retriesRequest
	// arrived and good count requests by window of arrival, sent counts attempts by
	// window of sending.
	arrived, sent, good [retriesEnd / retriesWindow]int
	// latency sums the latencies of good requests by window of arrival.
	latency [retriesEnd / retriesWindow]int
	// queueLength is the longest queue of a group by window.
	queueLength [retriesEnd / retriesWindow]int
}

func (s *retriesSim) run() {
	for now := range retriesEnd {
		if s.random.Float64() < retriesArrivalRate {
			s.arrived[now/retriesWindow]++
			s.policy.budget.AddRequest()
			s.waiting = append(s.waiting, retriesRequest{arrived: now, attempt: 1, due: now})
		}
		later := s.waiting[:0:0]
		for _, r := range s.waiting {
			if r.due > now {
				later = append(later, r)
			}
		}
		due := s.waiting
		s.waiting = later
		for _, r := range due {
			if r.due <= now {
				s.send(r, now)
			}
		}
		for group := range s.queues {
			s.serve(group, now)
			s.queueLength[now/retriesWindow] = max(s.queueLength[now/retriesWindow], len(s.queues[group]))
		}
	}
}

// faultActive reports whether the fault is present at the time now.
func (s *retriesSim) faultActive(now int) bool {
	return now >= retriesFaultFrom && now < retriesFaultTo
}

// send queues an attempt at the group with the shorter queue of two random ones. Lost
// groups are left out once their loss is detected.
func (s *retriesSim) send(r retriesRequest, now int) {
	s.sent[now/retriesWindow]++
	first := 0
	if s.faultActive(now) && now >= retriesFaultFrom+retriesDetectionTime {
		first = s.lostGroups
	}
	r.group = first + s.random.IntN(retriesGroups-first)
	if other := first + s.random.IntN(retriesGroups-first); len(s.queues[other]) < len(s.queues[r.group]) {
		r.group = other
	}
	if (s.faultActive(now) && r.group < s.lostGroups) || len(s.queues[r.group]) >= retriesQueueLimit {
		s.fail(r, now, verdict.NotRun)
		return
	}
	s.queues[r.group] = append(s.queues[r.group], r)
}

// serve completes and starts requests of a group.
func (s *retriesSim) serve(group, now int) {
	down := s.faultActive(now) && group < s.lostGroups
	left := s.running[group][:0:0]
	for _, r := range s.running[group] {
		switch {
		case down || (s.failing && s.faultActive(now) && r.due <= now):
			s.fail(r, now, verdict.MayHaveRun)
		case r.due <= now:
			window := r.arrived / retriesWindow
			s.good[window]++
			s.latency[window] += now - r.arrived
		default:
			left = append(left, r)
		}
	}
	s.running[group] = left
	for len(s.queues[group]) > 0 && (down || len(s.running[group]) < retriesSlots) {
		r := s.queues[group][0]
		s.queues[group] = s.queues[group][1:]
		switch {
		case down:
			s.fail(r, now, verdict.MayHaveRun)
		case now-r.arrived < retriesDeadline:
			r.due = now + 1 + int(s.random.ExpFloat64()*retriesServiceTime)
			s.running[group] = append(s.running[group], r)
		}
	}
}

// fail schedules the next attempt of a request if the policy allows one.
func (s *retriesSim) fail(r retriesRequest, now int, v verdict.Verdict) {
	e := verdict.New(v, verdict.ReasonBackendFailed, "fault")
	if r.attempt >= s.policy.attempts || now-r.arrived >= retriesDeadline || !retry.Allowed(e, true) {
		return
	}
	wait := 1
	if s.policy.name == "budgeted" {
		if !s.policy.budget.Take() {
			return
		}
		wait += int(s.random.Int64N(retry.Backoff{}.Ceiling(r.attempt).Milliseconds() + 1))
	}
	r.attempt++
	r.due = now + wait
	s.waiting = append(s.waiting, r)
}

// retriesMeasurement measures the load that retries add during faults.
func retriesMeasurement() Measurement { return Measurement{Name: "retries", Run: runRetries} }

func runRetries(ctx context.Context, seed uint64, emit Emit) error {
	for _, fault := range []struct {
		name    string
		lost    int
		failing bool
	}{{"group-lost", 1, false}, {"domain-lost", 5, false}, {"all-failing", 0, true}} {
		for _, p := range []retriesPolicy{{name: "never", attempts: 1}, {name: "at-once", attempts: 3},
			{name: "budgeted", attempts: retry.DefaultAttempts}} {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			p.budget = retry.NewBudget(0, 0)
			s := &retriesSim{policy: p, random: rand.New(rand.NewPCG(seed, 1)), lostGroups: fault.lost, failing: fault.failing}
			s.run()
			s.emit(fault.name, emit)
		}
	}
	return runResume(ctx, seed, emit)
}

func (s *retriesSim) emit(name string, emit Emit) {
	const first, from, to, last = 5, retriesFaultFrom / retriesWindow, retriesFaultTo / retriesWindow, 70
	peak, good, arrived, recovered := 0.0, 0, 0, 0
	for i := from; i < last; i++ {
		peak = max(peak, float64(s.sent[i])/float64(s.arrived[i]))
		if i < to {
			good, arrived = good+s.good[i], arrived+s.arrived[i]
		} else if s.good[i] < s.arrived[i] {
			recovered = i + 1 - to
		}
	}
	emit(s.policy.name, name+"/peak-load", peak, "attempts per request")
	emit(s.policy.name, name+"/success", float64(good)/float64(arrived), "share during the fault")
	emit(s.policy.name, name+"/recovery", float64(recovered), "s until no request fails")
	mean := func(a, b int) float64 {
		sum, count := 0, 0
		for i := a; i < b; i++ {
			sum, count = sum+s.latency[i], count+s.good[i]
		}
		return float64(sum) / float64(count)
	}
	emit(s.policy.name, name+"/latency-before", mean(first, from), "ms")
	emit(s.policy.name, name+"/latency-after", mean(last-10, last), "ms")
	queue := 0
	for i := last - 10; i < last; i++ {
		queue = max(queue, s.queueLength[i])
	}
	emit(s.policy.name, name+"/queue-after", float64(queue), "requests in one group")
}
