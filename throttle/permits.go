package throttle

import (
	"math"
	"time"
)

const (
	// burstTime is the time for which permits accumulate at a node whose share is more than
	// one request in that time.
	burstTime = time.Second
	// minPermitLifetime and maxPermitLifetime bound how long a permit is valid at a node
	// whose share is less. Without an end, many nodes with little traffic would each keep
	// one, and use all at once in a burst.
	minPermitLifetime = time.Second
	maxPermitLifetime = 4 * time.Second
	// permitArrivals is the number of requests that are expected at the node while a permit
	// is valid.
	permitArrivals = 2
	// maxRefillGap bounds the time for which permits are added at once. It is longer than a
	// round of the largest deployments; a node that refilled less often wasn't running.
	maxRefillGap = time.Second
	// rampTime is the time after the end of a limit in which the rate rises, so that not
	// all nodes turn to the server at once.
	rampTime = 3 * time.Second
	// rampDoubling is the time in which the rate doubles meanwhile.
	rampDoubling = 500 * time.Millisecond
	// rampRate is the rate from which it rises at least, in requests per second.
	rampRate = 1
	// noticeDelay is the time in which a statement that a node has received reaches the others:
	// reportInterval and the way through all nodes of the largest deployments.
	noticeDelay = 3 * time.Second
	// maxOverdueRate is the rate in requests per second up to which the permits for overdue
	// requests increase.
	maxOverdueRate = 4
)

// bucket holds a node's permits for a server.
type bucket struct {
	level      float64
	refilledAt time.Time
	// fullSince is when the level last reached the capacity.
	fullSince time.Time
	// usedAt is when this node last used a permit.
	usedAt time.Time
}

// Demand describes the requests that arrive at a node and may be sent to a server.
type Demand struct {
	// Share is their fraction of those that arrive at all nodes.
	Share float64
	// Rate is their number per second.
	Rate float64
	// Nodes is the number of nodes, including this one.
	Nodes int
}

// permitLifetime returns how long a permit is valid.
func (d Demand) permitLifetime() time.Duration {
	seconds := min(permitArrivals/d.Rate, maxPermitLifetime.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minPermitLifetime)
}

// refillLimits bound the permits in a bucket.
type refillLimits struct {
	// burst is the time for which permits accumulate.
	burst time.Duration
	// lifetime is how long a single permit is valid.
	lifetime time.Duration
	// gap is the longest time for which permits are added at once.
	gap time.Duration
}

// refill adds the permits since the last call, at a multiple of the rate.
func (b *bucket) refill(rate, multiple float64, limits refillLimits, now time.Time) {
	elapsed := min(now.Sub(b.refilledAt), limits.gap)
	if elapsed <= 0 {
		return
	}
	capacity := max(rate*limits.burst.Seconds(), 1)
	wasFull := b.level >= capacity
	b.refilledAt = now
	b.level = min(b.level+rate*multiple*elapsed.Seconds(), capacity)
	switch {
	case b.level < capacity:
	case !wasFull:
		b.fullSince = now
	case capacity == 1 && now.Sub(b.fullSince) >= limits.lifetime:
		b.level = 0
	}
}

// currentRate returns the rate that all nodes together may send to the server, and whether
// there is a limit.
func (s *server) currentRate(now time.Time) (rate float64, limited bool) {
	if s.limited {
		return max(s.rate, minRate), true
	}
	since := now.Sub(s.liftedAt)
	if since >= rampTime {
		return 0, false
	}
	return max(s.rate, rampRate) * math.Exp2(since.Seconds()/rampDoubling.Seconds()), true
}

// catchUp returns the factor by which permits accumulate faster than at the rate of all nodes.
// At low rates the permits of several nodes may come due at the same time, and then none for
// long. A server that has recovered in the meantime would get no request by which to state so.
// The factor therefore quadruples with each interval by which the next request is overdue.
func (s *server) catchUp(rate float64, now time.Time) float64 {
	last := s.at
	if s.usedAt.After(last) {
		last = s.usedAt
	}
	overdue := (now.Sub(last)-noticeDelay).Seconds()*rate - 1
	if !s.limited || overdue <= 0 || rate >= maxOverdueRate {
		return 1
	}
	return min(math.Exp2(2*overdue), maxOverdueRate/rate)
}

// Allowance is what a node may send to a server.
type Allowance struct {
	// Limited is false if there is no limit; Rate and Permits are then zero.
	Limited bool
	// Rate is the number of requests per second that all nodes together may send.
	Rate float64
	// NodeRate is the part of Rate that this node may send.
	NodeRate float64
	// Permits is the number of requests that this node may send now.
	Permits float64
	// Cold is true if the server is cold.
	Cold bool
	// Leaving is true if the server is shutting down.
	Leaving bool
	// HeldUntil is when the server takes requests of this node again; a time in the past, or
	// zero, if it does.
	HeldUntil time.Time
}

// Allowance returns what a node with the given demand may send to a server.
func (r *Registry) Allowance(key Server, demand Demand) Allowance {
	if r.count.Load() == 0 && r.coldCount.Load() == 0 {
		return Allowance{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var a Allowance
	if s := r.servers[key]; s != nil {
		a = Allowance{Leaving: s.leaving, HeldUntil: s.heldUntil}
		if a.Rate, a.Limited = s.currentRate(now); a.Limited {
			a.NodeRate = a.Rate * demand.Share
			s.refill(a.NodeRate, s.catchUp(a.Rate, now), refillLimits{burst: burstTime, lifetime: demand.permitLifetime(), gap: maxRefillGap}, now)
			a.Permits = s.level
		}
	}
	if cold := r.coldServer(key, now); cold != nil {
		r.restrict(&a, cold, demand.Nodes, now)
	}
	return a
}

// Rate returns the number of requests per second that all nodes together may send to a
// server, and whether there is a limit.
func (r *Registry) Rate(key Server) (rate float64, limited bool) {
	if r.count.Load() == 0 && r.coldCount.Load() == 0 {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if s := r.servers[key]; s != nil {
		rate, limited = s.currentRate(now)
	}
	if cold := r.coldServer(key, now); cold != nil {
		if coldRate := r.coldRate(cold.Rate); !limited || coldRate < rate {
			rate, limited = coldRate, true
		}
	}
	return rate, limited
}

// Use uses a permit for a request to a server, if it has a limit.
func (r *Registry) Use(key Server) {
	if r.count.Load() == 0 && r.coldCount.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.servers[key]; s != nil {
		s.level--
		s.usedAt = r.now()
	}
	if s := r.cold[key]; s != nil {
		s.level--
	}
}
