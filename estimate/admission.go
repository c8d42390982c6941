package estimate

import (
	"math"
	"time"
)

// settleTime is the time in which targets return to their level. It is longer than the age of
// the reports of other nodes, so that the level doesn't oscillate.
const settleTime = 400 * time.Millisecond

// SendRate returns the number of requests per second that all nodes together may send to a
// target so that the number of its requests settles at the level.
func (e Engine) SendRate(requests, level float64) float64 {
	return max(e.CompletionRate(requests)+(level-requests)/settleTime.Seconds(), 0)
}

const (
	// rankMemory is the time constant of the shares of the ranks in the requests.
	rankMemory = 5 * time.Second
	// minRankFraction is the smallest chance of a request, whatever its rank, relative to the
	// average one, so that no rank is starved.
	minRankFraction = 0.4
	// minRankRate is the rate in requests per second below which a rank is forgotten.
	minRankRate = 0.01
)

// Ranks holds the requests per second by rank.
type Ranks struct {
	rates map[int]float64
	at    time.Time
}

// Add counts a request.
func (r *Ranks) Add(rank int, now time.Time) {
	left := math.Exp(-now.Sub(r.at).Seconds() / rankMemory.Seconds())
	if r.rates == nil {
		r.rates = map[int]float64{}
	}
	for other, rate := range r.rates {
		if r.rates[other] = rate * left; r.rates[other] < minRankRate {
			delete(r.rates, other)
		}
	}
	r.rates[rank] += 1 / rankMemory.Seconds()
	r.at = now
}

// Chance returns the probability with which a request of a rank is admitted if the engines can
// answer the given fraction of all requests on time. Lower ranks come first.
func (r *Ranks) Chance(rank int, fraction float64) float64 {
	better, all := 0.0, 0.0
	for other, rate := range r.rates {
		all += rate
		if other < rank {
			better += rate
		}
	}
	if all <= 0 || r.rates[rank] <= 0 {
		return min(fraction, 1)
	}
	return min(max((fraction*all-better)/r.rates[rank], minRankFraction*fraction), 1)
}
