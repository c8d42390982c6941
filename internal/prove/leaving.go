package prove

import (
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// LeavingBound is the time from the moment at which the instance list first
// shows a backend server as leaving to the last new work that it gets.
const LeavingBound = 5 * time.Second

// CheckLeaving checks that backend servers that leave get no new work after the
// bound. New work of an engine is a request that reaches it or the first
// collective step of an attempt.
func CheckLeaving(h *History) Result {
	r := Result{Bound: LeavingBound, Faults: len(h.Faults)}
	leaving := map[string]time.Time{}
	left, before := map[string]bool{}, map[string]bool{}
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
				if e.At.Sub(since) > r.Bound && before[instance] {
					left[instance] = true
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
			before[e.Instance] = true
			continue
		}
		r.Late(e.At.Sub(since), "%s got new work (%s) while leaving", e.Instance, e.Kind)
	}
	if len(left) == 0 {
		r.Fail("no backend server that had worked was leaving for longer than %s", r.Bound)
	}
	r.RequireActivity()
	return r
}

// isNewWork tells whether a backend server recorded the start of something.
func isNewWork(e *standin.Event) bool {
	kinds := []standin.EventKind{standin.EventArrive, standin.EventBegin, standin.EventCall}
	return slices.Contains(kinds, e.Kind) || e.Kind == standin.EventStep && e.Step.Steps == 1
}
