package forward

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/throttle"
)

const (
	// minNodeArrivalRate is the number of requests per second that each other node is
	// assumed to receive at least. Without it, each of many nodes that receive their first
	// request at the same time would take the whole rate of a server.
	minNodeArrivalRate = 0.02
	// othersDecay is the time constant with which a decrease of the other nodes' arrivals
	// takes effect, so that a node that is cut off from them doesn't take their share.
	othersDecay = 3 * time.Second
	// maxPatience multiplies the time that a request can wait. If the expected wait for a
	// permit exceeds the product, the request is refused at once.
	maxPatience = 2
	// minRankFraction is the smallest chance of a request to wait for a permit, whatever its
	// rank, relative to the average one, so that no rank is starved.
	minRankFraction = 0.35
	// permitUseTime is the time in which the permits at hand are to be used.
	permitUseTime = 400 * time.Millisecond
	// rankWindow is the time constant of the averages of arrivals by rank.
	rankWindow = 2 * time.Second
	// negligibleRate is the rate below which a rank is no longer counted, in requests per
	// second.
	negligibleRate = 0.01
	// minReturnDelay and maxReturnDelay bound the time after which a refused caller is told
	// to return.
	minReturnDelay = 50 * time.Millisecond
	maxReturnDelay = 5 * time.Second
	// returnSpread is the time over which callers return once a server takes requests again.
	returnSpread = time.Second
)

// refusedError is the error of a request that gets no slot because of what the backend
// servers have stated.
type refusedError struct {
	// retryAfter is when this node expects that a server takes the request.
	retryAfter time.Duration
	// notAdmitted is true if the engines could only answer it late, or make others late.
	notAdmitted bool
	err         error
}

func (e *refusedError) Error() string { return e.err.Error() }
func (e *refusedError) Unwrap() error { return e.err }

// retryAfterOf returns the time after which a caller without a slot may return.
func retryAfterOf(err error, fallback time.Duration) time.Duration {
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused.retryAfter
	}
	return jitter(fallback)
}

// ObserveResponse records what a response states about its server.
func (d *Dispatcher) ObserveResponse(in *engine.Instance, s throttle.Statement, sentAt time.Time) {
	d.throttle.Observe(throttle.ServerOf(in.ID, in.StartedMs), s, sentAt)
}

// AcceptedRate returns the number of requests per second that all nodes together may send to
// a target, and whether there is a limit.
func (d *Dispatcher) AcceptedRate(t *Target) (rate float64, limited bool) {
	return d.throttle.Rate(t.Server)
}

// ArrivalRates returns this node's arrivals per second at the pools with a throttled
// target, and at those of which most slots are taken. It also adds the permits since the last call, so it must be called regularly.
func (d *Dispatcher) ArrivalRates() map[Pool]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	rates := map[Pool]float64{}
	defer d.reportArrivals(rates, now)
	if d.throttle.Empty() {
		return rates
	}
	d.tables.Load().Each(func(t *Target) {
		demand := d.throttleDemand(t.Pool, now)
		if d.throttle.Allowance(t.Server, demand).Limited {
			rates[t.Pool] = demand.Rate
		}
	})
	return rates
}

// throttleDemand returns the requests that arrive at this node for a pool, and those that
// wait as if they arrived again each second. The caller holds the lock.
func (d *Dispatcher) throttleDemand(p Pool, now time.Time) throttle.Demand {
	nodes := d.peers.Nodes()
	if d.throttle.Empty() {
		return throttle.Demand{Nodes: nodes}
	}
	t := d.trafficOf(p)
	t.decay(now)
	own := t.arrivalRate + t.resumeRate + float64(len(d.waiting[p]))
	if own <= 0 {
		return throttle.Demand{Nodes: nodes}
	}
	others := max(t.holdOthers(d.peers.ArrivalRate(p.Service, p.Model), now), float64(nodes-1)*minNodeArrivalRate)
	return throttle.Demand{Rate: own, Share: own / (own + others), Nodes: nodes}
}

// holdOthers returns the rate of the other nodes' arrivals, which decreases slowly.
func (t *traffic) holdOthers(rate float64, now time.Time) float64 {
	left := math.Exp(-now.Sub(t.othersAt).Seconds() / othersDecay.Seconds())
	t.others, t.othersAt = max(rate, t.others*left), now
	return t.others
}

// usableSlots returns the number of slots of a target that the rate that it accepts can
// keep in use. The caller holds the lock.
func (d *Dispatcher) usableSlots(t *Target) int {
	rate, limited := d.throttle.Rate(t.Server)
	if !limited {
		return t.Slots
	}
	held := rate * d.trafficOf(t.Pool).holdTime.Seconds()
	return min(t.Slots, max(int(math.Ceil(held)), 1))
}

// UnusableSlots returns the number of slots by model that throttled targets have but can't
// be used at the rates that they accept.
func (d *Dispatcher) UnusableSlots() map[string]float64 {
	if d.throttle.Empty() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	slots := map[string]float64{}
	d.tables.Load().Each(func(t *Target) {
		if unusable := t.Slots - d.usableSlots(t); unusable > 0 && t.Pool.Model != "" {
			slots[t.Pool.Model] += float64(unusable)
		}
	})
	return slots
}

// permits is what the targets for a request offer if all of them are throttled.
type permits struct {
	// throttled is true if there are targets and all of them are throttled.
	throttled bool
	// available is the number of permits now.
	available float64
	// rate is the number of permits per second that this node gets.
	rate float64
}

// permitsFor returns the permits for a waiter.
func (s *candidateSet) permitsFor(w *waiter) permits {
	var p permits
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.Excluded || w.avoid[s.targets[i].Instance.ID] {
			continue
		}
		if !c.Throttled {
			return permits{}
		}
		p.throttled = true
		// A permit of one target and the fraction of another don't add up.
		p.available += max(math.Floor(c.Permits), 0)
		p.rate += s.rates[i]
	}
	return p
}

// freeAt returns when the first target takes requests again, if none does now because of
// what the servers stated; zero otherwise.
func (s *candidateSet) freeAt(w *waiter, now time.Time) (at time.Time) {
	for i := range s.candidates {
		until := s.heldUntil[i]
		switch held := now.Before(until); {
		case !held && w.avoid[s.targets[i].Instance.ID]:
		case !held:
			return time.Time{}
		case at.IsZero() || until.Before(at):
			at = until
		}
	}
	return at
}

// wait returns the expected time until the request after the given number of others gets a
// permit.
func (p permits) wait(ahead int) time.Duration {
	missing := float64(ahead) + 1 - p.available
	if missing <= 0 {
		return 0
	}
	if seconds := missing / p.rate; seconds < never.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return never
}

// acquireThrottled assigns a permit to a request whose targets are all throttled, or adds
// the request to the queue. Permits that are too few for all requests go to the best ranks;
// the other requests are refused at once. A resumed stream waits: it comes before all others,
// and would be broken off. The caller holds the lock.
func (d *Dispatcher) acquireThrottled(r SlotRequest, w *waiter, s *candidateSet, p permits, now time.Time) (*Target, error) {
	if chance := d.trafficOf(r.Pool).chance(r.Rank, p.rate+p.available/permitUseTime.Seconds(), now); !r.Begun && rand.Float64() >= chance {
		return nil, d.refuseThrottled(r.Pool, p, now)
	}
	ahead := 0
	for _, other := range d.waiting[r.Pool] {
		if other.key.Compare(w.key, now) <= 0 {
			ahead++
		}
	}
	if ahead == 0 {
		if target := s.pick(w); target != nil {
			return target, nil
		}
	}
	if !r.Begun && p.wait(ahead) > maxPatience*r.Until.Sub(now) {
		return nil, d.refuseThrottled(r.Pool, p, now)
	}
	d.enqueue(r.Pool, w)
	return nil, nil
}

// chance records an arrival at throttled targets and returns the fraction of the requests of
// its rank for which this node gets permits, at the given number per second.
func (t *traffic) chance(rank int, permitRate float64, now time.Time) float64 {
	left := math.Exp(-now.Sub(t.ranksAt).Seconds() / rankWindow.Seconds())
	t.ranksAt = now
	if t.rankRates == nil {
		t.rankRates = map[int]float64{}
	}
	better, all := 0.0, 1/rankWindow.Seconds()
	for other, rate := range t.rankRates {
		rate *= left
		if t.rankRates[other] = rate; rate < negligibleRate {
			delete(t.rankRates, other)
		}
		all += rate
		if other < rank {
			better += rate
		}
	}
	t.rankRates[rank] += 1 / rankWindow.Seconds()
	return max((permitRate-better)/t.rankRates[rank], minRankFraction*permitRate/all)
}

// refuseThrottled returns the error for a request that gets no permit. Refused callers are
// told to return one after the other, at the rate of the permits. The caller holds the lock.
func (d *Dispatcher) refuseThrottled(pool Pool, p permits, now time.Time) error {
	t := d.trafficOf(pool)
	t.recordRefusal(now)
	if t.nextReturn.Before(now) {
		t.nextReturn = now.Add(min(p.wait(len(d.waiting[pool])), maxReturnDelay))
	}
	retryAfter := t.nextReturn.Sub(now)
	if retryAfter >= maxReturnDelay {
		retryAfter = maxReturnDelay/2 + rand.N(maxReturnDelay/2)
	} else {
		t.nextReturn = t.nextReturn.Add(min(permits{rate: p.rate}.wait(0), maxReturnDelay))
	}
	return &refusedError{retryAfter: max(retryAfter, minReturnDelay), err: fmt.Errorf("%w: the backend servers accept %.2f requests per second from this node, %d more requests wait",
		ErrFull, p.rate, len(d.waiting[pool]))}
}
