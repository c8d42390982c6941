package throttle

import (
	"math"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// coldBurstTime is the time for which permits for a cold server accumulate at a node.
	coldBurstTime = 250 * time.Millisecond
	// coldPermitLifetime is how long a permit for a cold server is valid.
	coldPermitLifetime = 250 * time.Millisecond
	// deviations is the number of standard deviations by which the requests of all nodes in
	// a second may exceed their mean without exceeding the limit.
	deviations = 4
	// keepNodes is how long the largest number of nodes counts. Nodes that were cut off from
	// this one still use their parts of the rate.
	keepNodes = 30 * time.Second
	// nodesSettleTime is the time after the start of the process in which the number of nodes
	// isn't known, and soloSettleTime that after which a node that met no other is alone.
	nodesSettleTime = 2 * time.Second
	soloSettleTime  = 10 * time.Second
)

// Cold is the limit of a server that is cold.
type Cold struct {
	// Rate is the number of requests per second that it accepts from all nodes together.
	Rate  float64
	Until time.Time
}

// coldServer is the state of a cold server.
type coldServer struct {
	Cold
	bucket
}

// nodeCount holds the largest number of nodes of the last time.
type nodeCount struct {
	nodes int
	at    time.Time
}

// hold returns the number of nodes to divide a rate by.
func (c *nodeCount) hold(nodes int, now time.Time) int {
	if nodes >= c.nodes || now.Sub(c.at) > keepNodes {
		c.nodes, c.at = max(nodes, 1), now
	}
	return c.nodes
}

// coldRate returns the mean number of requests per second of all nodes to a cold server, for
// which those in any second are very unlikely to exceed the limit. They come from many nodes
// that don't know of each other's, so their number varies like that of independent events,
// and permits that were left from before add to them.
func (r *Registry) coldRate(rate float64) float64 {
	limit := rate*r.coldOverage + r.coldAllowance
	// The largest mean m for which m + deviations*sqrt(m) is within the limit.
	root := math.Sqrt(deviations*deviations/4+limit) - deviations/2
	return min(rate, root*root/(1+coldPermitLifetime.Seconds()))
}

// SetCold replaces the servers that are cold.
func (r *Registry) SetCold(cold map[Server]Cold) {
	if len(cold) == 0 && r.coldCount.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for key, c := range cold {
		known := r.cold[key]
		if known == nil {
			// A random level keeps nodes that learn the limit together from sending together.
			known = &coldServer{bucket: bucket{level: r.random(), refilledAt: now}}
			r.cold[key] = known
			_ = level.Info(r.logger).Log("msg", "backend server is cold", "instance", r.ids[key], "per_second", c.Rate, "for_ms", c.Until.Sub(now).Milliseconds())
		}
		known.Cold = c
	}
	for key := range r.cold {
		if _, found := cold[key]; !found {
			delete(r.cold, key)
		}
	}
	r.coldCount.Store(int64(len(r.cold)))
	r.coldServers.Update(int64(len(r.cold)))
}

// coldServer returns the state of a server that is cold now, or nil. The caller holds the
// lock.
func (r *Registry) coldServer(key Server, now time.Time) *coldServer {
	if s := r.cold[key]; s != nil && now.Before(s.Until) {
		return s
	}
	return nil
}

// restrict lowers an allowance to what a cold server accepts from this node, one of the given
// number. The caller holds the lock.
func (r *Registry) restrict(a *Allowance, s *coldServer, nodes int, now time.Time) {
	rate := r.coldRate(s.Rate)
	a.Cold = true
	own, permits := rate/float64(r.nodes.hold(nodes, now)), 0.0
	if age := now.Sub(r.startedAt); age < nodesSettleTime || (r.nodes.nodes == 1 && age < soloSettleTime) {
		s.refilledAt = now
	} else {
		s.refill(own, 1, refillLimits{burst: coldBurstTime, lifetime: coldPermitLifetime, gap: coldBurstTime}, now)
		permits = s.level
	}
	if !a.Limited {
		a.Limited, a.Rate, a.NodeRate, a.Permits = true, rate, own, permits
		return
	}
	a.Rate, a.NodeRate, a.Permits = min(a.Rate, rate), min(a.NodeRate, own), min(a.Permits, permits)
}
