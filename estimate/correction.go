package estimate

import (
	"math"
	"time"
)

const (
	// weight is that of one observation in the averages of a pool, and targetWeight in those
	// of one target.
	weight       = 0.08
	targetWeight = 0.25
	// minFactor and maxFactor bound what one observation says of the pace.
	minFactor, maxFactor = 0.25, 8
	// maxDelay bounds what one observation says of the delay.
	maxDelay = 500 * time.Millisecond
	// waitPrior is the weight of the assumption that waits are as expected, and minWaitFactor
	// and maxWaitFactor bound their ratio.
	waitPrior                    = float64(20 * time.Millisecond)
	minWaitFactor, maxWaitFactor = 0.1, 3
	// targetMemory is the time constant with which what was observed of one target alone
	// loses its weight.
	targetMemory = 5 * time.Second
)

// Correction is what observations say of the estimates for the targets of a pool. The zero value
// corrects nothing.
type Correction struct {
	delay, deviation float64
	delays           int
	// expectedWait and observedWait are the averages of the waits for a slot, of the requests
	// for which one was expected.
	expectedWait, observedWait float64
	logPace                    float64
	paces                      int
}

// Known reports whether a first event was observed.
func (c *Correction) Known() bool { return c.delays > 0 }

// Delay returns by how much first events come later than estimated from the profile.
func (c *Correction) Delay() time.Duration { return time.Duration(c.delay) }

// Deviation returns the usual deviation of first events from corrected estimates.
func (c *Correction) Deviation() time.Duration { return time.Duration(c.deviation) }

// Pace returns the ratio of the observed times of events to the estimated ones.
func (c *Correction) Pace() float64 { return math.Exp(c.logPace) }

// WaitFactor returns the ratio of the observed waits for a slot to the expected ones. Reports of
// other nodes count requests that have ended meanwhile, and not those that were sent.
func (c *Correction) WaitFactor() float64 {
	ratio := (c.observedWait + waitPrior) / (c.expectedWait + waitPrior)
	return min(max(ratio, minWaitFactor), maxWaitFactor)
}

// ObserveFirstEvent records the time to a first event, its estimate without delay and wait, and the
// expected wait for a slot.
func (c *Correction) ObserveFirstEvent(estimated, wait, observed time.Duration) {
	if wait > 0 {
		extra := float64(min(max(observed-estimated-c.Delay(), -maxDelay), maxDelay))
		c.expectedWait += weight * (float64(wait) - c.expectedWait)
		c.observedWait += weight * (extra - c.observedWait)
		return
	}
	c.delays++
	w := max(weight, 1/float64(c.delays))
	delay := float64(min(max(observed-estimated, -estimated), maxDelay))
	// The first observation says nothing of the deviation.
	if c.delays > 1 {
		c.deviation += w * (math.Abs(delay-c.delay) - c.deviation)
	}
	c.delay += w * (delay - c.delay)
}

// ObservePace records the ratio of the observed time of events to the estimated one.
func (c *Correction) ObservePace(ratio float64) {
	c.paces++
	c.logPace += max(weight, 1/float64(c.paces+1)) * (boundedLog(ratio) - c.logPace)
}

// TargetCorrection is what observations say of one target relative to its pool.
type TargetCorrection struct {
	logPace float64
	at      time.Time
}

// ObservePace records the ratio of the observed time of events to that of the pool.
func (c *TargetCorrection) ObservePace(ratio float64, now time.Time) {
	c.logPace = c.decayed(now)
	c.logPace += targetWeight * (boundedLog(ratio) - c.logPace)
	c.at = now
}

// Pace returns the factor by which the target is slower than its pool. It returns to one without
// observations.
func (c *TargetCorrection) Pace(now time.Time) float64 { return math.Exp(c.decayed(now)) }

func (c *TargetCorrection) decayed(now time.Time) float64 {
	return c.logPace * math.Exp(-now.Sub(c.at).Seconds()/targetMemory.Seconds())
}

func boundedLog(ratio float64) float64 { return math.Log(min(max(ratio, minFactor), maxFactor)) }
