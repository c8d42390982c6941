package forward

import (
	"net/http"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/drain"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// leaving is the state of a node that stops.
type leaving struct {
	since time.Time
	grace drain.Grace
}

// SetLeaving starts the stop: every response closes its connection from now on, so that
// callers move to other nodes, and requests that may not end in time are refused. Those in
// progress at the end of the time for answers get an error.
func (h *Handler) SetLeaving(grace drain.Grace) {
	h.leaving.Store(&leaving{since: time.Now(), grace: grace})
	time.AfterFunc(grace.Answers, h.end)
}

// closeIfLeaving makes the response close its connection if this node stops.
func (h *Handler) closeIfLeaving(w http.ResponseWriter) {
	if h.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
}

// latestStart returns the time until which the request may be sent to a backend server,
// and an error if it may not be sent any more because this node stops. It shortens the
// deadline of the request to the time that is left.
func (h *Handler) latestStart(c *call) (time.Time, *verdict.Error) {
	l := h.leaving.Load()
	if l == nil {
		return c.callerDeadline, nil
	}
	now := time.Now()
	decision := l.grace.Decide(now.Sub(l.since), drain.Request{Kind: drainKind(c.route.Kind),
		Deadline: c.callerDeadline.Sub(now), Expected: h.expectedDuration(c)})
	if !decision.Take {
		return time.Time{}, stoppingError()
	}
	c.deadline = now.Add(decision.Within)
	return now.Add(decision.StartWithin), nil
}

// stoppingError returns the refusal of a request because this node stops.
func stoppingError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonDraining, "this node is stopping").WithRetryAfter(drainingRetry)
}

// remaining returns the time until the request must be answered.
func (h *Handler) remaining(c *call) time.Duration {
	until := c.deadline
	if l := h.leaving.Load(); l != nil {
		until = earlier(until, l.since.Add(l.grace.Answers))
	}
	return time.Until(until)
}

func drainKind(k catalog.Kind) drain.Kind {
	switch k {
	case catalog.Streaming:
		return drain.Stream
	case catalog.Safe:
		return drain.Repeatable
	}
	return drain.Once
}

// expectedDuration returns the usual duration of such requests; 0 if it is unknown. The
// latency goal of a stream is the time to its first event.
func (h *Handler) expectedDuration(c *call) time.Duration {
	usual := h.Dispatcher.holdTime(c.pool())
	if c.route.Kind == catalog.Streaming {
		return usual
	}
	return max(usual, c.route.LatencyGoal)
}

// ended reports whether the time for answers of a stop is over, at which requests in progress
// are cancelled or reach their deadline.
func (h *Handler) ended() bool {
	l := h.leaving.Load()
	return l != nil && time.Since(l.since) >= l.grace.Answers
}

// endedBy returns the error for the caller of a request in progress: if it failed because
// this node stops, with that reason and without a delay before the caller tries another node.
func (h *Handler) endedBy(err *verdict.Error) *verdict.Error {
	if !h.ended() {
		return err
	}
	changed := *err
	changed.Reason, changed.RetryAfter = verdict.ReasonDraining, drainingRetry
	return &changed
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
