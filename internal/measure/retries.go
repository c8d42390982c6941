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
	retriesGroups    = 15
	retriesSlots     = 8
	retriesServe     = 400
	retriesOffered   = 0.21
	retriesQueue     = 64
	retriesDeadline  = 5000
	retriesFaultFrom = 20000
	retriesFaultTo   = 30000
	retriesEnd       = 80000
	retriesWindow    = 1000
	// retriesDetect is the time for which a lost group is still chosen.
	retriesDetect = 1600
)

// retriesPolicy decides on another attempt, and how long to wait for it.
type retriesPolicy struct {
	name     string
	budget   *retry.Budget
	attempts int
}

type retriesRequest struct{ arrived, attempt, due, group int }

// retriesWorld is a fixed offered load on groups with a queue each.
type retriesWorld struct {
	policy  retriesPolicy
	random  *rand.Rand
	lost    int
	failing bool
	waiting []retriesRequest
	queues  [retriesGroups][]retriesRequest
	running [retriesGroups][]retriesRequest
	// Counts by window of arrival or of sending.
	arrived, sent, good [retriesEnd / retriesWindow]int
	latency             [retriesEnd / retriesWindow]int
	length              [retriesEnd / retriesWindow]int
}

func (w *retriesWorld) run() {
	for now := range retriesEnd {
		if w.random.Float64() < retriesOffered {
			w.arrived[now/retriesWindow]++
			w.policy.budget.AddRequest()
			w.waiting = append(w.waiting, retriesRequest{arrived: now, attempt: 1, due: now})
		}
		later := w.waiting[:0:0]
		for _, r := range w.waiting {
			if r.due > now {
				later = append(later, r)
			}
		}
		due := w.waiting
		w.waiting = later
		for _, r := range due {
			if r.due <= now {
				w.send(r, now)
			}
		}
		for group := range w.queues {
			w.serve(group, now)
			w.length[now/retriesWindow] = max(w.length[now/retriesWindow], len(w.queues[group]))
		}
	}
}

func (w *retriesWorld) faulty(now int) bool { return now >= retriesFaultFrom && now < retriesFaultTo }

func (w *retriesWorld) send(r retriesRequest, now int) {
	w.sent[now/retriesWindow]++
	first := 0
	if w.faulty(now) && now >= retriesFaultFrom+retriesDetect {
		first = w.lost
	}
	r.group = first + w.random.IntN(retriesGroups-first)
	if other := first + w.random.IntN(retriesGroups-first); len(w.queues[other]) < len(w.queues[r.group]) {
		r.group = other
	}
	if (w.faulty(now) && r.group < w.lost) || len(w.queues[r.group]) >= retriesQueue {
		w.fail(r, now, verdict.NotRun)
		return
	}
	w.queues[r.group] = append(w.queues[r.group], r)
}

// serve ends and starts requests of a group.
func (w *retriesWorld) serve(group, now int) {
	down := w.faulty(now) && group < w.lost
	left := w.running[group][:0:0]
	for _, r := range w.running[group] {
		switch {
		case down || (w.failing && w.faulty(now) && r.due <= now):
			w.fail(r, now, verdict.MayHaveRun)
		case r.due <= now:
			window := r.arrived / retriesWindow
			w.good[window]++
			w.latency[window] += now - r.arrived
		default:
			left = append(left, r)
		}
	}
	w.running[group] = left
	for len(w.queues[group]) > 0 && (down || len(w.running[group]) < retriesSlots) {
		r := w.queues[group][0]
		w.queues[group] = w.queues[group][1:]
		switch {
		case down:
			w.fail(r, now, verdict.MayHaveRun)
		case now-r.arrived < retriesDeadline:
			r.due = now + 1 + int(w.random.ExpFloat64()*retriesServe)
			w.running[group] = append(w.running[group], r)
		}
	}
}

func (w *retriesWorld) fail(r retriesRequest, now int, v verdict.Verdict) {
	e := verdict.New(v, verdict.ReasonBackendFailed, "fault")
	if r.attempt >= w.policy.attempts || now-r.arrived >= retriesDeadline || !retry.Allowed(e, true) {
		return
	}
	wait := 1
	if w.policy.name == "budgeted" {
		if !w.policy.budget.Take() {
			return
		}
		wait += int(w.random.Int64N(retry.Backoff{}.Ceiling(r.attempt).Milliseconds() + 1))
	}
	r.attempt++
	r.due = now + wait
	w.waiting = append(w.waiting, r)
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
			w := &retriesWorld{policy: p, random: rand.New(rand.NewPCG(seed, 1)), lost: fault.lost, failing: fault.failing}
			w.run()
			w.emit(fault.name, emit)
		}
	}
	return runResume(ctx, seed, emit)
}

func (w *retriesWorld) emit(name string, emit Emit) {
	const first, from, to, last = 5, retriesFaultFrom / retriesWindow, retriesFaultTo / retriesWindow, 70
	peak, good, arrived, recovered := 0.0, 0, 0, 0
	for i := from; i < last; i++ {
		peak = max(peak, float64(w.sent[i])/float64(w.arrived[i]))
		if i < to {
			good, arrived = good+w.good[i], arrived+w.arrived[i]
		} else if w.good[i] < w.arrived[i] {
			recovered = i + 1 - to
		}
	}
	emit(w.policy.name, name+"/peak-load", peak, "attempts per request")
	emit(w.policy.name, name+"/success", float64(good)/float64(arrived), "share during the fault")
	emit(w.policy.name, name+"/recovery", float64(recovered), "s until no request fails")
	mean := func(a, b int) float64 {
		sum, count := 0, 0
		for i := a; i < b; i++ {
			sum, count = sum+w.latency[i], count+w.good[i]
		}
		return float64(sum) / float64(count)
	}
	emit(w.policy.name, name+"/latency-before", mean(first, from), "ms")
	emit(w.policy.name, name+"/latency-after", mean(last-10, last), "ms")
	queue := 0
	for i := last - 10; i < last; i++ {
		queue = max(queue, w.length[i])
	}
	emit(w.policy.name, name+"/queue-after", float64(queue), "requests in one group")
}
