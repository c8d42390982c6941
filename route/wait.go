package route

import (
	"math"
	"time"
)

const (
	// rateShare is the weight of a new sample in the moving average of the rate
	// at which a target works off its queue.
	rateShare = 0.1
	// minQueued is the queue in tokens from which a first-token time says
	// something about that rate.
	minQueued = 2048
)

// observeRate learns how fast the target works off its queue from the time that
// a request spent in it.
func (t *Tracker) observeRate(d time.Duration) {
	queued := float64(t.queued.Load())
	if queued < minQueued || d <= 0 {
		return
	}
	for {
		old := t.rate.Load()
		average := queued / d.Seconds()
		if old != 0 {
			average = (1-rateShare)*math.Float64frombits(old) + rateShare*average
		}
		if t.rate.CompareAndSwap(old, math.Float64bits(average)) {
			return
		}
	}
}

// Rate returns the observed rate in queued prompt tokens per second, or 0
// without samples.
func (t *Tracker) Rate() float64 { return math.Float64frombits(t.rate.Load()) }

// Wait estimates the time in the queues of a service's groups: their reported
// queued prompt tokens over the rate that this node observed. It is false before
// there is an observation and for plain services.
func (t *Table) Wait(service string) (time.Duration, bool) {
	s := t.Service(service)
	if s == nil || len(s.Targets) == 0 {
		return 0, false
	}
	var queued, rates float64
	samples := 0
	for _, target := range s.Targets {
		queued += float64(target.Tracker.queued.Load())
		if rate := target.Tracker.Rate(); rate > 0 {
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
