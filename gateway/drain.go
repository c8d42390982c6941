package gateway

import (
	"context"
	"time"

	"github.com/rattanlanding/rattanlanding/drain"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// stop is the state of a node that stops.
type stop struct {
	since time.Time
	grace drain.Grace
}

// SetLeaving starts the stop: requests that may not end in time are refused, and those in
// progress at the end of the time for answers get an error.
func (g *Gateway) SetLeaving(grace drain.Grace) {
	g.stop.Store(&stop{since: time.Now(), grace: grace})
	time.AfterFunc(grace.Answers, g.end)
}

// limitToStop returns the time that a request may take, at most timeout, or an error if it
// may not end before this node stops.
func (g *Gateway) limitToStop(r *request, kind drain.Kind, timeout time.Duration) (time.Duration, error) {
	r.kind, r.callerDeadline = kind, time.Now().Add(timeout)
	s := g.stop.Load()
	if s == nil {
		return timeout, nil
	}
	decision := s.decide(r)
	if !decision.Take {
		return 0, stoppingError()
	}
	return decision.Within, nil
}

// checkStart returns an error if a request that was taken has waited so long that it may not
// end before this node stops.
func (g *Gateway) checkStart(r *request) *verdict.Error {
	if s := g.stop.Load(); s != nil && !s.decide(r).Take {
		return stoppingError()
	}
	return nil
}

func (s *stop) decide(r *request) drain.Decision {
	return s.grace.Decide(time.Since(s.since), drain.Request{Kind: r.kind, Deadline: time.Until(r.callerDeadline)})
}

// withEnd returns a context that ends with the time for answers, and a function that releases
// its resources.
func (g *Gateway) withEnd(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	release := context.AfterFunc(g.ending, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// endedBy returns the error for the caller of a request in progress: one that has not run
// because this node stops has that reason, and no delay before the caller tries another node.
func (g *Gateway) endedBy(err *verdict.Error) *verdict.Error {
	if g.ending.Err() == nil || err.Verdict != verdict.NotRun {
		return err
	}
	return stoppingError().WithCause(err)
}

// stoppingError returns the refusal of a request because this node stops.
func stoppingError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonDraining, "this node is stopping, use another address")
}
