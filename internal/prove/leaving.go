package prove

import (
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// LeavingBound is the time after which a backend server gets no new work, counted
// from the first instance list that shows it as leaving.
const LeavingBound = 5 * time.Second

// CheckLeaving checks that a leaving backend server gets no new work after the
// bound. New work of an engine is a request that reaches it or the first
// collective step of an attempt.
func CheckLeaving(h *History) Result {
	r := Result{Bound: LeavingBound, Faults: len(h.Faults)}
	leaving := map[string]time.Time{}
	leftLong, hadWork := map[string]bool{}, map[string]bool{}
	for i := range h.Events {
		e := &h.Events[i]
		if e.Kind == standin.EventList {
			next := map[string]time.Time{}
			for _, instance := range e.Leaving {
				next[instance] = e.At
				if since, known := leaving[instance]; known {
					next[instance] = since
				}
			}
			for instance, since := range leaving {
				if e.At.Sub(since) > r.Bound && hadWork[instance] {
					leftLong[instance] = true
				}
			}
			leaving = next
			continue
		}
		if !isNewWork(e) {
			continue
		}
		r.Operations++
		since, known := leaving[e.Instance]
		if !known {
			hadWork[e.Instance] = true
			continue
		}
		r.CheckBound(e.At.Sub(since), "%s got new work (%s) while leaving", e.Instance, e.Kind)
	}
	if len(leftLong) == 0 {
		r.Fail("no backend server with earlier work was leaving for longer than %s, so the bound was not tested", r.Bound)
	}
	r.RequireActivity()
	return r
}

// isNewWork reports whether the event is the arrival or start of a request, or the
// first step of an attempt, at a backend server.
func isNewWork(e *standin.Event) bool {
	kinds := []standin.EventKind{standin.EventArrive, standin.EventBegin, standin.EventCall}
	return slices.Contains(kinds, e.Kind) || e.Kind == standin.EventStep && e.Step.Steps == 1
}
