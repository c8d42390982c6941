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
	// never is a wait without end.
	never = time.Duration(math.MaxInt64)
)

// flow measures the requests of one pool at this node.
type flow struct {
	// rate is the average of arrivals a second, as of at.
	rate float64
	at   time.Time
	// service is the average time for which a place is held.
	service time.Duration
}

// arrived counts a request. The rate decays exponentially between requests.
func (f *flow) arrived(now time.Time) {
	f.rate = f.rateAt(now) + 1/flowWindow.Seconds()
	f.at = now
}

func (f *flow) rateAt(now time.Time) float64 {
	return f.rate * math.Exp(-now.Sub(f.at).Seconds()/flowWindow.Seconds())
}

// ended counts the time for which a place was held.
func (f *flow) ended(held time.Duration) {
	if f.service == 0 {
		f.service = held
		return
	}
	f.service += time.Duration(serviceWeight * float64(held-f.service))
}

// lateWait returns the time in which late requests get the places that those
// which can still be on time leave over. It answers to more arrivals than the
// places of this node's share can serve: then late requests wait in vain, and are
// better told at once to come back.
func (f *flow) lateWait(slots float64, waiting int, now time.Time) time.Duration {
	if f.service <= 0 {
		return 0
	}
	spare := slots/f.service.Seconds() - f.rateAt(now)
	if spare <= 0 {
		return never
	}
	return time.Duration(float64(waiting) / spare * float64(time.Second))
}
