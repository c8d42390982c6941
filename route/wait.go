package route

import (
	"math"
	"time"
)

const (
	// rateSmoothing is the weight of a new sample in the exponential moving
	// average of the rate at which a target processes its queue.
	rateSmoothing = 0.1
	// minQueued is the shortest queue, in tokens, with which a time to first
	// token is a usable sample of that rate.
	minQueued = 2048
)

// observeDrainRate adds a sample of the rate at which the target processes its
// queue: the queued tokens divided by the time d to the first token.
func (t *Tracker) observeDrainRate(d time.Duration) {
	queued := float64(t.queuedTokens.Load())
	if queued < minQueued || d <= 0 {
		return
	}
	for {
		old := t.drainRate.Load()
		average := queued / d.Seconds()
		if old != 0 {
			average = (1-rateSmoothing)*math.Float64frombits(old) + rateSmoothing*average
		}
		if t.drainRate.CompareAndSwap(old, math.Float64bits(average)) {
			return
		}
	}
}

// DrainRate returns the observed rate in prompt tokens per second, or 0 without
// samples.
func (t *Tracker) DrainRate() float64 { return math.Float64frombits(t.drainRate.Load()) }

// EstimatedWait estimates the time that a request waits in the queues of a
// service's groups: their average number of queued prompt tokens divided by the
// average rate that this node observed. It returns false if there are no samples
// and for plain services.
func (t *Table) EstimatedWait(service string) (time.Duration, bool) {
	s := t.Service(service)
	if s == nil || len(s.Targets) == 0 {
		return 0, false
	}
	var queued, rates float64
	samples := 0
	for _, target := range s.Targets {
		queued += float64(target.Tracker.queuedTokens.Load())
		if rate := target.Tracker.DrainRate(); rate > 0 {
			rates += rate
			samples++
		}
	}
	if samples == 0 {
		return 0, false
	}
	perTarget := queued / float64(len(s.Targets))
	return time.Duration(perTarget / (rates / float64(samples)) * float64(time.Second)), true
}
