package estimate

import (
	"math"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
)

// Engine is what is known of the speed of a target.
type Engine struct {
	Profile *catalog.EngineProfile
	// Slots is the number of requests that the target runs at once.
	Slots int
	// TimeFactor multiplies all times of the profile.
	TimeFactor float64
	// Delay is added to the time to the first event.
	Delay time.Duration
	// WaitFactor multiplies the time that requests wait for a slot; 0 means 1.
	WaitFactor float64
	// Lengths are the usual lengths of the requests.
	Lengths Lengths
}

// Lengths are the lengths of a request.
type Lengths struct {
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens float64
	// Events is the number of events of the response.
	Events float64
}

// Load is what a target has to do at one moment.
type Load struct {
	// Requests is the number of requests of all nodes that run or wait at the target.
	Requests float64
	// UnreadTokens is the number of prompt tokens that the target has not read yet.
	UnreadTokens float64
}

// pass returns the duration of a pass, in which each of the given number of running
// requests writes one event.
func (e Engine) pass(running float64) time.Duration {
	p := e.Profile
	context := (e.Lengths.PromptTokens + e.Lengths.Events*float64(p.StepsPerEvent)/2) / 1000
	perRequest := float64(p.StepTimePerRequest) + float64(p.StepTimePerContext)*context
	return e.scaled((float64(p.StepTime) + running*perRequest) * float64(max(p.StepsPerEvent, 1)))
}

// read returns the time in which the target reads prompts. Pairs of tokens are counted as if
// each prompt had the given length.
func (e Engine) read(tokens, length float64) time.Duration {
	p := e.Profile
	if p.PrefillRate <= 0 {
		return 0
	}
	pairs := tokens * length / 2 / 1e6
	return e.scaled(tokens/p.PrefillRate*float64(time.Second) + pairs*float64(p.PrefillTimePerPairs))
}

func (e Engine) scaled(d float64) time.Duration { return time.Duration(d * e.TimeFactor) }

// EventTime returns the usual time between two events of a response at a target with the given
// number of requests, including the reading of other prompts.
func (e Engine) EventTime(requests float64) time.Duration {
	running := min(max(requests, 1), float64(e.Slots))
	// While a response is written, the prompts of as many others are read as run beside it.
	reading := running * float64(e.read(e.Lengths.PromptTokens, e.Lengths.PromptTokens)) / max(e.Lengths.Events, 1)
	return e.pass(running) + time.Duration(reading)
}

// CompletionRate returns the number of requests per second that the target completes with the
// given number of requests.
func (e Engine) CompletionRate(requests float64) float64 {
	held := e.Lengths.Events * e.EventTime(requests).Seconds()
	if held <= 0 {
		return 0
	}
	return min(requests, float64(e.Slots)) / held
}

// SlotWait returns the time that another request waits for a slot.
func (e Engine) SlotWait(requests float64) time.Duration {
	missing := requests + 1 - float64(e.Slots)
	if missing <= 0 {
		return 0
	}
	rate := e.CompletionRate(requests)
	if rate <= 0 {
		return 0
	}
	return time.Duration(missing / rate * e.waitFactor() * float64(time.Second))
}

func (e Engine) waitFactor() float64 {
	if e.WaitFactor <= 0 {
		return 1
	}
	return e.WaitFactor
}

// FirstEvent returns the time after which the target sends the first event of another request
// with the given number of prompt tokens: when it has a slot, has read the prompts before it and
// its own, and has made the pass in which the event is written, and after the delay.
func (e Engine) FirstEvent(l Load, promptTokens float64) time.Duration {
	pass := e.pass(min(l.Requests+1, float64(e.Slots)))
	return e.SlotWait(l.Requests) + e.read(l.UnreadTokens, e.Lengths.PromptTokens) + e.read(promptTokens, promptTokens) + pass + e.Delay
}

// UnreadTokens returns the usual number of prompt tokens that a target with the given number of
// requests has not read yet: those that arrive until the current pass ends.
func (e Engine) UnreadTokens(requests float64) float64 {
	return e.CompletionRate(requests) * e.pass(min(requests, float64(e.Slots))).Seconds() * e.Lengths.PromptTokens
}

// EventGap returns the longest time between two events of the requests that run at the target
// if it gets another one with the given number of prompt tokens.
func (e Engine) EventGap(l Load, promptTokens float64) time.Duration {
	tokens := l.UnreadTokens + promptTokens
	if limit := float64(e.Profile.PrefillChunk * max(e.Profile.StepsPerEvent, 1)); limit > 0 {
		tokens = min(tokens, limit)
	}
	return e.pass(min(l.Requests+1, float64(e.Slots))) + e.read(tokens, e.Lengths.PromptTokens)
}

// Level returns the number of requests at the target with which one more of usual length gets
// its first event within the given time. It leaves room for half of the usual deviation of the requests
// that reports of the given age don't show yet. A target with free slots is hardly slower than an
// empty one, so a level far below the slots would help no request.
func (e Engine) Level(within, reportAge time.Duration) float64 {
	slots := float64(e.Slots)
	base := e.FirstEvent(Load{Requests: slots - 1}, e.Lengths.PromptTokens)
	rate := e.CompletionRate(slots)
	// A level above the slots keeps the least urgent requests waiting at the target, even if the
	// others hardly wait.
	spare := (within-base).Seconds()*rate/max(e.waitFactor(), 1) - math.Sqrt(rate*reportAge.Seconds())/2
	return slots - 1 + min(max(spare, -maxFree*slots), maxWaiting*slots)
}

const (
	// maxFree is the largest fraction of the slots that stays free so that requests start at
	// once, and maxWaiting that of requests that wait at the target.
	maxFree, maxWaiting = 0.15, 0.1
)
