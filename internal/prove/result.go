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
	// Operations is the number of operations that the check covers.
	Operations int
	// Faults is the number of faults that took effect.
	Faults int
	// Worst is the longest time compared with Bound; both are 0 for points without
	// a time bound.
	Worst time.Duration
	// Bound is the longest time that the point allows.
	Bound time.Duration
	// Violations describes the violations found; it is empty if the guarantee held.
	Violations []string
}

// maxViolations is the maximum number of violations kept in a Result.
const maxViolations = 20

// Fail adds a violation, or drops it if maxViolations are kept already.
func (r *Result) Fail(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// CheckBound updates Worst with d and adds a violation if d exceeds Bound.
func (r *Result) CheckBound(d time.Duration, format string, args ...any) {
	r.Worst = max(r.Worst, d)
	if d > r.Bound {
		r.Fail(format+": %s, bound %s", append(args, d.Round(time.Millisecond), r.Bound)...)
	}
}

// RequireActivity adds a violation if the run tested nothing, because it recorded
// no operation that the check covers or no fault.
func (r *Result) RequireActivity() {
	if r.Operations == 0 {
		r.Fail("the run recorded no operation that the check covers")
	}
	if r.Faults == 0 {
		r.Fail("the run recorded no fault")
	}
}

// RequireFaults adds a violation for each of the kinds of which no fault was
// recorded.
func (r *Result) RequireFaults(h *History, kinds ...string) {
	for _, kind := range kinds {
		if !slices.ContainsFunc(h.Faults, func(f Fault) bool { return f.Kind == kind }) {
			r.Fail("required fault %q was not recorded", kind)
		}
	}
}

// OK reports whether the guarantee held.
func (r *Result) OK() bool { return len(r.Violations) == 0 }

// String returns the PROOF line that the run prints.
func (r *Result) String() string {
	state := "ok"
	if !r.OK() {
		state = "red"
	}
	line := fmt.Sprintf("PROOF %s %s seed=%d operations=%d faults=%d", r.Point, state, r.Seed, r.Operations, r.Faults)
	if r.Bound == 0 {
		return line + fmt.Sprintf(" violations=%d bound=none", len(r.Violations))
	}
	return line + fmt.Sprintf(" worst=%.2fs bound=%.0fs", r.Worst.Seconds(), r.Bound.Seconds())
}
