package forward

import (
	"math"
	"time"
)

const (
	// flowWindow is the time over which arrivals are averaged.
	flowWindow = time.Second
	// serviceWeight is that of one request in the average time of service.
	serviceWeight = 0.05
	// overload is the ratio of demand to places from which no lull helps.
	overload = 1.25
	// minSpare bounds a division, in places a second.
	minSpare = 0.01
	// lullShare is the part of the places that lulls leave to late requests.
	lullShare = 0.15
	// never is a wait without end.
	never = time.Duration(math.MaxInt64)
)

// flow measures the requests of one pool at this node.
type flow struct {
	// rate and refused are the averages of arrivals and refusals a second, as of at.
	rate, refused float64
	at            time.Time
	// service is the average time for which a place is held.
	service time.Duration
}

// arrived counts a request. The rate decays exponentially between requests.
func (f *flow) arrived(now time.Time) {
	f.decay(now)
	f.rate += 1 / flowWindow.Seconds()
}

// refuse counts a refusal.
func (f *flow) refuse(now time.Time) {
	f.decay(now)
	f.refused += 1 / flowWindow.Seconds()
}

func (f *flow) decay(now time.Time) {
	left := math.Exp(-now.Sub(f.at).Seconds() / flowWindow.Seconds())
	f.rate, f.refused, f.at = f.rate*left, f.refused*left, now
}

// demand returns the number of places that all requests would occupy, where held have
// or wait for one now. Callers who were refused come back once, and count if they are
// refused again. What is held tells the demand at once, while the average time of
// service is known only after some answers have ended, the long ones last.
func (f *flow) demand(now time.Time, held float64) float64 {
	f.decay(now)
	if f.rate <= 0 {
		return held
	}
	share := min(f.refused/f.rate, 1)
	return held + f.refused*share/(1+share)*f.service.Seconds()
}

// ended counts the time for which a place was held.
func (f *flow) ended(held time.Duration) {
	if f.service == 0 {
		f.service = held
		return
	}
	f.service += time.Duration(serviceWeight * float64(held-f.service))
}

// lateWait returns the time in which a request that is late already gets a place,
// where demand is that of all nodes in places, and waiting are the requests of this
// node, which has a share of the slots. It answers to more demand than places: then
// the requests that can still be on time take them all, and late ones wait in vain
// and are better told at once to come back. While demand about matches the places,
// lulls leave some over.
func (f *flow) lateWait(demand, slots, share float64, waiting int) time.Duration {
	if f.service <= 0 {
		return 0
	}
	if demand > overload*slots {
		return never
	}
	capacity := share / f.service.Seconds()
	spare := max(capacity*(1-demand/max(slots, 1)), lullShare*capacity)
	return time.Duration(float64(waiting) / max(spare, minSpare) * float64(time.Second))
}
