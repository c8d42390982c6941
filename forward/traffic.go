package forward

import (
	"math"
	"time"

	"github.com/rattanlanding/rattanlanding/estimate"
)

const (
	// rateWindow is the time constant of the averages of arrivals and refusals.
	rateWindow = time.Second
	// holdTimeSmoothing is the weight of one request in the average hold time.
	holdTimeSmoothing = 0.05
	// lengthSmoothing is the weight of one request in the average lengths.
	lengthSmoothing = 0.05
	// overloadRatio is the ratio of demand to slots above which short drops in demand
	// free no slots.
	overloadRatio = 1.25
	// minSpareRate is the lower bound of a divisor, in slots per second.
	minSpareRate = 0.01
	// lateFraction is the fraction of the slots that become free for late requests when
	// demand drops for a short time.
	lateFraction = 0.15
	// minGoal is the shortest goal that counts.
	minGoal = 10 * time.Millisecond
	// never is an unlimited wait.
	never = time.Duration(math.MaxInt64)
)

// traffic holds the traffic statistics of one pool at this node.
type traffic struct {
	// arrivalRate is the moving average of arrivals per second at updatedAt.
	arrivalRate float64
	// refusalRate is the moving average of refusals per second at updatedAt.
	refusalRate float64
	// resumeRate is the moving average of resumed streams per second at updatedAt.
	resumeRate float64
	updatedAt  time.Time
	// holdTime is the average time for which a slot is held.
	holdTime time.Duration
	// promptTokens is the average length of the prompts.
	promptTokens average
	// events is the average number of events of a complete response.
	events average
	// outputTokens is the average length of the responses that callers expect.
	outputTokens average
	// urgency is the average of one over the time in seconds from a request to its goal.
	urgency average
	// ranks are the requests by rank.
	ranks estimate.Ranks
	// correction corrects the estimates for the targets.
	correction estimate.Correction
	// others is the rate of the other nodes' arrivals at othersAt, while a target is
	// throttled.
	others   float64
	othersAt time.Time
	// rankRates are the averages of arrivals per second by rank at ranksAt, while all
	// targets are throttled.
	rankRates map[int]float64
	ranksAt   time.Time
	// nextReturn is when the next caller that gets no permit is told to return.
	nextReturn time.Time
}

// recordArrival counts a request with a prompt of the given length and the time to its goal.
func (t *traffic) recordArrival(now time.Time, promptTokens int, goal time.Duration) {
	t.decay(now)
	t.arrivalRate += 1 / rateWindow.Seconds()
	t.promptTokens.add(float64(promptTokens))
	if goal > 0 {
		t.urgency.add(1 / max(goal.Seconds(), minGoal.Seconds()))
	}
}

// recordLengthHint adds the expected length of a response in tokens, 0 if unknown.
func (t *traffic) recordLengthHint(outputTokens int) {
	if outputTokens > 0 {
		t.outputTokens.add(float64(outputTokens))
	}
}

// eventCount returns the usual number of events of a response, with the given number of tokens
// in each: that of complete responses, or else what callers expect; 0 if neither is known.
func (t *traffic) eventCount(tokensPerEvent int) float64 {
	if t.events.known {
		return t.events.value
	}
	return t.outputTokens.value / float64(max(tokensPerEvent, 1))
}

// recordResume counts a stream that is to be resumed.
func (t *traffic) recordResume(now time.Time) {
	t.decay(now)
	t.resumeRate += 1 / rateWindow.Seconds()
}

// firstArrivalRate returns the rate of requests without those of refused callers, who are
// assumed to retry once.
func (t *traffic) firstArrivalRate(now time.Time) float64 {
	t.decay(now)
	if t.arrivalRate <= 0 {
		return 0
	}
	return t.arrivalRate / (1 + min(t.refusalRate/t.arrivalRate, 1))
}

// average is a moving average of the lengths of requests.
type average struct {
	value float64
	known bool
}

func (a *average) add(value float64) {
	if !a.known {
		a.value, a.known = value, true
		return
	}
	a.value += lengthSmoothing * (value - a.value)
}

// recordRefusal counts a refusal.
func (t *traffic) recordRefusal(now time.Time) {
	t.decay(now)
	t.refusalRate += 1 / rateWindow.Seconds()
}

// decay reduces the rates exponentially by the time since the last update.
func (t *traffic) decay(now time.Time) {
	left := math.Exp(-now.Sub(t.updatedAt).Seconds() / rateWindow.Seconds())
	t.arrivalRate, t.refusalRate, t.resumeRate, t.updatedAt = t.arrivalRate*left, t.refusalRate*left, t.resumeRate*left, now
}

// demand returns the number of slots that all requests would occupy; held is the number
// of slots that requests hold or wait for now. Refused callers are assumed to retry
// once, and count if they are refused again. The held slots show the demand at once,
// while the average hold time is known only after some responses have ended, the long
// ones last.
func (t *traffic) demand(now time.Time, held float64) float64 {
	t.decay(now)
	if t.arrivalRate <= 0 {
		return held
	}
	share := min(t.refusalRate/t.arrivalRate, 1)
	return held + t.refusalRate*share/(1+share)*t.holdTime.Seconds()
}

// recordHoldTime adds the time for which a slot was held to the average.
func (t *traffic) recordHoldTime(held time.Duration) {
	if t.holdTime == 0 {
		t.holdTime = held
		return
	}
	t.holdTime += time.Duration(holdTimeSmoothing * float64(held-t.holdTime))
}

// lateWaitTime returns the expected time until a request that is already late gets a
// slot. demand is that of all nodes in slots, share is this node's share of the slots,
// and waiting is the number of its waiting requests. If demand exceeds the slots, the
// requests that can still be on time take all of them, and late ones wait in vain; it is
// better to refuse them at once so that their callers retry. While demand about matches
// the slots, short drops in demand leave some free.
func (t *traffic) lateWaitTime(demand, slots, share float64, waiting int) time.Duration {
	if t.holdTime <= 0 {
		return 0
	}
	if demand > overloadRatio*slots {
		return never
	}
	capacity := share / t.holdTime.Seconds()
	spare := max(capacity*(1-demand/max(slots, 1)), lateFraction*capacity)
	return time.Duration(float64(waiting) / max(spare, minSpareRate) * float64(time.Second))
}
