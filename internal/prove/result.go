package prove

import (
	"fmt"
	"slices"
	"time"
)

// Result is the outcome of one point's check.
type Result struct {
	Point string
	Seed  uint64
	// Operations counts the operations of the kind that the point is about.
	Operations int
	Faults     int
	// Worst is the largest observed time against Bound; both are 0 for points
	// without a bound.
	Worst time.Duration
	Bound time.Duration
	// Problems are the violations found; empty means that the point held.
	Problems []string
}

// maxProblems is the number of violations kept in a Result.
const maxProblems = 20

// Fail adds a violation.
func (r *Result) Fail(format string, args ...any) {
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, fmt.Sprintf(format, args...))
	}
}

// Late notes a time against the bound and fails if it exceeds it.
func (r *Result) Late(d time.Duration, format string, args ...any) {
	r.Worst = max(r.Worst, d)
	if d > r.Bound {
		r.Fail(format+": %s, bound %s", append(args, d.Round(time.Millisecond), r.Bound)...)
	}
}

// RequireActivity fails a run that proved nothing: one without operations of the
// kind, or in which no fault took hold.
func (r *Result) RequireActivity() {
	if r.Operations == 0 {
		r.Fail("the run recorded no operation of the kind")
	}
	if r.Faults == 0 {
		r.Fail("no fault took hold")
	}
}

// RequireFaults fails a run in which a fault of a named kind never took hold.
func (r *Result) RequireFaults(h *History, kinds ...string) {
	for _, kind := range kinds {
		if !slices.ContainsFunc(h.Faults, func(f Fault) bool { return f.Kind == kind }) {
			r.Fail("the fault %q never took hold", kind)
		}
	}
}

// OK tells whether the point held.
func (r *Result) OK() bool { return len(r.Problems) == 0 }

// String returns the line that the proof prints.
func (r *Result) String() string {
	state := "ok"
	if !r.OK() {
		state = "red"
	}
	line := fmt.Sprintf("PROOF %s %s seed=%d operations=%d faults=%d", r.Point, state, r.Seed, r.Operations, r.Faults)
	if r.Bound == 0 {
		return line + fmt.Sprintf(" violations=%d bound=none", len(r.Problems))
	}
	return line + fmt.Sprintf(" worst=%.2fs bound=%.0fs", r.Worst.Seconds(), r.Bound.Seconds())
}
