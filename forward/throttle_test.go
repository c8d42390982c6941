package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/throttle"
)

// Parameters of the users' rule on the request rate of a throttled server.
const (
	// limitSettleTime is the time after the first statement from which the rule holds.
	limitSettleTime = 3 * time.Second
	// limitWindow is the time over which requests are counted.
	limitWindow = 4 * time.Second
	// limitRatio and limitSlack bound the requests in a window by the accepted ones.
	limitRatio, limitSlack = 1.5, 5.0
	// limitKnownTime is the time after a node's first response with a statement from which
	// its requests count.
	limitKnownTime = 500 * time.Millisecond
)

// throttledRun is a run of a deployment whose engines state request rates.
type throttledRun struct {
	*saturation
	// rate returns the rate that an engine states at a time since the start; negative for
	// none.
	rate func(engine int, at time.Duration) float64
	// arrivalRate returns the number of requests per second at a time since the start.
	arrivalRate func(at time.Duration) float64
	// rank draws the rank of a request.
	rank func(*rand.Rand) int

	mu      sync.Mutex
	started time.Time
	// arrivals are the requests that arrived at an engine, by engine ID.
	arrivals map[string][]engineArrival
	// told is when a node first received a statement of an engine.
	told     map[toldKey]time.Duration
	requests []throttledRequest
}

// engineArrival is a request that arrived at an engine.
type engineArrival struct {
	at time.Duration
	// counts is true if the node had received a statement before.
	counts bool
}

type toldKey struct {
	node   *saturatedNode
	engine string
}

// throttledRequest is the outcome of a request.
type throttledRequest struct {
	at, took   time.Duration
	rank       int
	served     bool
	retryAfter time.Duration
}

// exchange delivers the states and notices of all nodes after a delay, at an interval.
func (r *throttledRun) exchange(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(reportInterval) {
		own := make([]*othersReport, len(r.nodes))
		total := &othersReport{running: map[string]int{}}
		var notices []throttle.Notice
		for i, n := range r.nodes {
			own[i] = &othersReport{running: map[string]int{}, demand: n.dispatcher.Demand()[r.pool], arrivals: n.dispatcher.ArrivalRates()[r.pool]}
			for _, t := range n.tables.Load().Targets(r.pool) {
				own[i].running[t.Instance.ID] = t.Load.Running()
				total.running[t.Instance.ID] += t.Load.Running()
			}
			total.demand += own[i].demand
			total.arrivals += own[i].arrivals
			notices = append(notices, n.dispatcher.throttle.Report()...)
		}
		time.AfterFunc(reportDelay, func() {
			for i, n := range r.nodes {
				view := &othersReport{running: map[string]int{}, demand: total.demand - own[i].demand, arrivals: total.arrivals - own[i].arrivals}
				for id, running := range total.running {
					view.running[id] = running - own[i].running[id]
				}
				n.others.Store(view)
				n.dispatcher.throttle.Absorb(notices)
			}
		})
	}
}

// play sends requests for some time.
func (r *throttledRun) play(duration, service time.Duration) {
	r.started, r.arrivals, r.told = time.Now(), map[string][]engineArrival{}, map[toldKey]time.Duration{}
	ctx, cancel := context.WithCancel(context.Background())
	var requests, exchange sync.WaitGroup
	exchange.Go(func() { r.exchange(ctx) })
	for at := time.Duration(0); at < duration; at = time.Since(r.started) {
		n, rank := r.nodes[r.rng.IntN(len(r.nodes))], r.rank(r.rng)
		requests.Go(func() { r.send(ctx, n, rank, service) })
		time.Sleep(time.Duration(r.rng.ExpFloat64() / r.arrivalRate(at) * float64(time.Second)))
	}
	requests.Wait()
	cancel()
	exchange.Wait()
}

// send sends one request.
func (r *throttledRun) send(ctx context.Context, n *saturatedNode, rank int, service time.Duration) {
	arrived := time.Now()
	slot, err := n.dispatcher.Acquire(ctx, SlotRequest{Pool: r.pool, Rank: rank, GoalAt: arrived.Add(300 * time.Millisecond), Until: arrived.Add(1600 * time.Millisecond)})
	outcome := throttledRequest{at: arrived.Sub(r.started), took: time.Since(arrived), rank: rank, served: err == nil}
	if err == nil {
		sentAt := time.Now()
		i := slices.Index(r.ids, slot.Instance.ID)
		time.Sleep(service / 10)
		at := time.Since(r.started)
		rate := r.rate(i, at)
		n.dispatcher.ObserveResponse(slot.Instance, throttle.Statement{Limited: rate >= 0, Rate: max(rate, 0)}, sentAt)
		key, sent := toldKey{n, slot.Instance.ID}, sentAt.Sub(r.started)
		r.mu.Lock()
		toldAt, told := r.told[key]
		r.arrivals[key.engine] = append(r.arrivals[key.engine], engineArrival{sent, told && sent >= toldAt+limitKnownTime})
		if !told && rate >= 0 {
			r.told[key] = at
		}
		r.mu.Unlock()
		time.Sleep(service * 9 / 10)
		slot.Release()
	} else {
		outcome.retryAfter = retryAfterOf(err, fullRetry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, outcome)
}

// times returns the times at which requests arrived at an engine, only those that count or
// all.
func (r *throttledRun) times(engine string, all bool) (times []time.Duration) {
	for _, a := range r.arrivals[engine] {
		if all || a.counts {
			times = append(times, a.at)
		}
	}
	slices.Sort(times)
	return times
}

// worst returns the largest ratio of the requests that arrived at an engine within a window
// to those allowed at the rate, in windows that begin after from and end before to.
func (r *throttledRun) worst(rate float64, from, to time.Duration) (worst float64) {
	allowed := limitRatio*rate*limitWindow.Seconds() + limitSlack
	for _, id := range r.ids {
		times := r.times(id, false)
		for i, first := range times {
			if first < from || first+limitWindow > to {
				continue
			}
			last, _ := slices.BinarySearch(times, first+limitWindow)
			worst = max(worst, float64(last-i)/allowed)
		}
	}
	return worst
}

// count returns the number of requests that arrived at engines in a period.
func (r *throttledRun) count(from, to time.Duration) (n int) {
	for _, id := range r.ids {
		for _, at := range r.times(id, true) {
			if at >= from && at < to {
				n++
			}
		}
	}
	return n
}

// served returns the served fraction of the requests of a rank that arrived in a period; a
// negative rank selects all.
func (r *throttledRun) served(rank int, from, to time.Duration) float64 {
	served, all := 0, 0
	for _, q := range r.requests {
		if q.at >= from && q.at < to && (rank < 0 || q.rank == rank) {
			all++
			if q.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(all, 1))
}

// Guards against nodes that together send a server in need far more requests than it accepts
// (LIMIT), and against permits that nobody uses while requests are refused.
func TestThrottledEnginesGetTheRateThatTheyAccept(t *testing.T) {
	for _, test := range []struct {
		name                         string
		nodes, groups, slots         int
		rate, perGroup, burst, usage float64
	}{
		{"seven nodes", 7, 12, 17, 2.3, 6, 1, 0.8},
		{"seven nodes in a burst", 7, 12, 17, 2.3, 6, 4, 0.8},
		{"low rate", 9, 12, 17, 0.5, 6, 1, 0.7},
		{"high rate", 9, 6, 40, 20, 40, 1, 0.8},
		{"many nodes", 88, 22, 17, 2, 8, 2, 0.7},
		{"hundreds of nodes", 380, 30, 17, 2, 12, 1, 0.6},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				const begin, end = 3 * time.Second, 15 * time.Second
				r := &throttledRun{saturation: newSaturation(test.nodes, test.groups, test.slots),
					rank: func(*rand.Rand) int { return 0 },
					rate: func(_ int, at time.Duration) float64 {
						if at < begin {
							return -1
						}
						return test.rate
					},
					arrivalRate: func(at time.Duration) float64 {
						rate := test.perGroup * float64(test.groups)
						if at > 8*time.Second && at < 10*time.Second {
							rate *= test.burst
						}
						return rate
					}}
				r.play(end, 1200*time.Millisecond)
				used := float64(r.count(begin+limitSettleTime, end)) / (test.rate * float64(test.groups) * (end - begin - limitSettleTime).Seconds())
				t.Logf("worst window %.2f of the allowed requests, %.2f of the accepted rate used", r.worst(test.rate, begin+limitSettleTime, end), used)
				g.Expect(r.worst(test.rate, begin+limitSettleTime, end)).To(BeNumerically("<=", 1))
				g.Expect(used).To(And(BeNumerically(">=", test.usage), BeNumerically("<=", 1.2)))
			})
		})
	}
}

// Guards against requests that wait for a permit until they are late although none is to be
// expected, and against refused callers who are all told to return at the same time.
func TestRefusesAtOnceWithoutPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const begin, end = 2 * time.Second, 14 * time.Second
		r := &throttledRun{saturation: newSaturation(7, 12, 17),
			rank:        func(*rand.Rand) int { return 0 },
			rate:        func(int, time.Duration) float64 { return 0.5 },
			arrivalRate: func(time.Duration) float64 { return 70 }}
		r.play(end, time.Second)
		var waits, returns []time.Duration
		for _, q := range r.requests {
			if q.at > begin+limitSettleTime && !q.served {
				waits, returns = append(waits, q.took), append(returns, q.at+q.retryAfter)
				g.Expect(q.retryAfter).To(BeNumerically(">", 0))
			}
		}
		slices.Sort(waits)
		slices.Sort(returns)
		g.Expect(len(waits)).To(BeNumerically(">", 300))
		g.Expect(waits[len(waits)*8/10]).To(BeNumerically("<=", 40*time.Millisecond), "the wait of four fifths of the refused requests")
		// Callers return spread over time.
		most := 0
		for i := range returns {
			n, _ := slices.BinarySearch(returns[i:], returns[i]+200*time.Millisecond)
			most = max(most, n)
		}
		g.Expect(most).To(BeNumerically("<=", 60), "callers who are told to return within 200 ms")
	})
}

// Guards against a stream that is broken off at a node without other requests, because its
// resumption counts as no demand while servers are throttled.
func TestResumedStreamsGetPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSaturation(9, 12, 17)
		n := s.nodes[0]
		n.others.Store(&othersReport{arrivals: 20})
		registry := throttle.NewRegistry(throttle.Config{Random: func() float64 { return 0.8 }}, log.NewNopLogger(), metrics.NewRegistry())
		n.dispatcher = NewDispatcher(n.tables, n, "z", registry)
		for _, target := range n.tables.Load().Targets(s.pool) {
			n.dispatcher.ObserveResponse(target.Instance, throttle.Statement{Limited: true, Rate: 2}, time.Now())
		}
		_, err := n.dispatcher.Acquire(context.Background(), SlotRequest{Pool: s.pool, Begun: true, Until: time.Now().Add(firstEventTimeout)})
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against callers who left while they waited and delay the return of the others.
func TestCallersWhoLeaveDelayNoReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSaturation(1, 1, 17)
		d := s.nodes[0].dispatcher
		d.ObserveResponse(s.nodes[0].tables.Load().Targets(s.pool)[0].Instance, throttle.Statement{Limited: true}, time.Now())
		left, leave := context.WithCancel(context.Background())
		leave()
		for range 20 {
			_, err := d.Acquire(left, SlotRequest{Pool: s.pool, Begun: true, Until: time.Now().Add(time.Minute)})
			g.Expect(err).To(HaveOccurred())
		}
		// The goroutine that serves the queue ends.
		time.Sleep(2 * recheckInterval)
		d.mu.Lock()
		defer d.mu.Unlock()
		g.Expect(d.trafficOf(s.pool).nextReturn).To(BeZero())
	})
}

// Guards against a limit by which urgent requests lose to others, and against one that
// starves the requests that are less urgent.
func TestThrottledEnginesServeRanksInOrderAndStarveNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &throttledRun{saturation: newSaturation(7, 12, 17),
			rank:        func(rng *rand.Rand) int { return cmp.Compare(rng.IntN(100), 20) + 1 },
			rate:        func(int, time.Duration) float64 { return 1.5 },
			arrivalRate: func(time.Duration) float64 { return 90 }}
		r.play(20*time.Second, time.Second)
		urgent, other, all := r.served(0, 5*time.Second, 20*time.Second), r.served(2, 5*time.Second, 20*time.Second), r.served(-1, 5*time.Second, 20*time.Second)
		t.Logf("served: urgent %.2f, others %.2f, all %.2f", urgent, other, all)
		g.Expect(urgent).To(BeNumerically(">", other))
		g.Expect(other).To(BeNumerically(">", all/4))
	})
}

// Guards against an engine that stays without requests after it has recovered, and against
// one that gets them from all nodes at once.
func TestThrottledEnginesGetRequestsAgainAfterTheyRecover(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 3} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			const end = 10 * time.Second
			r := &throttledRun{saturation: newSaturation(9, 8, 17),
				rank: func(*rand.Rand) int { return 0 },
				rate: func(i int, at time.Duration) float64 {
					if i < 2 && at < end {
						return rate
					}
					return -1
				},
				arrivalRate: func(time.Duration) float64 { return 60 }}
			r.play(26*time.Second, time.Second)
			for _, id := range r.ids[:2] {
				times := r.times(id, true)
				after := slices.DeleteFunc(slices.Clone(times), func(at time.Duration) bool { return at < end+8*time.Second })
				g.Expect(len(after)).To(BeNumerically(">", 8*60/8/2), "requests of %s in the last eight seconds", id)
				for i, at := range times {
					n, _ := slices.BinarySearch(times[i:], at+300*time.Millisecond)
					g.Expect(at < limitSettleTime || n <= 17).To(BeTrue(), "%d requests within 300 ms at %s", n, at)
				}
			}
		})
	}
}

// Guards against statements of one start of an engine that are applied to another start.
func TestThrottleEndsWithTheStartOfAnEngine(t *testing.T) {
	g := NewWithT(t)
	d := NewDispatcher(NewTables(), &fakePeers{}, "", newThrottle())
	in := &engine.Instance{ID: "a", StartedMs: 1}
	d.ObserveResponse(in, throttle.Statement{Limited: true, Rate: 2}, time.Now())
	_, limited := d.throttle.Rate(throttle.ServerOf("a", 1))
	g.Expect(limited).To(BeTrue())
	_, limited = d.throttle.Rate(throttle.ServerOf("a", 2))
	g.Expect(limited).To(BeFalse())
}
