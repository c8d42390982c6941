package prove

// gracefulStops are the kinds of planned stops that a run of graceful requires.
var gracefulStops = []string{"stop node", "stop server", "stop engine", "withdraw group"}

// CheckGraceful checks that planned stops neither abort nor refuse any request,
// and that every stopped process exited by itself with code 0. The callers make
// one attempt per request, so any error is a violation.
func CheckGraceful(h *History) Result {
	r := Result{Faults: len(h.Faults)}
	inFlight := 0
	for i := range h.Operations {
		o := &h.Operations[i]
		if o.Kind != OpCompletion && o.Kind != OpCall {
			continue
		}
		r.Operations++
		if !o.OK {
			r.Fail("%s %q of %s from %s to %s failed: %s", o.Kind, o.Prompt+o.Key+o.Body, o.Organisation,
				o.Start.Format("15:04:05.000"), o.End.Format("15:04:05.000"), o.Error)
		}
		if overlapsStop(h, o) {
			inFlight++
		}
	}
	if inFlight == 0 {
		r.Fail("no request was in flight during a planned stop")
	}
	checkStops(h, &r)
	r.RequireActivity()
	return r
}

// overlapsStop reports whether a planned stop overlapped the operation. Planned
// stops are recorded as faults.
func overlapsStop(h *History, o *Operation) bool {
	for _, f := range h.Faults {
		if o.Start.Before(f.To) && f.From.Before(o.End) {
			return true
		}
	}
	return false
}

// checkStops checks that each kind of planned stop happened and that all of them
// ended cleanly.
func checkStops(h *History, r *Result) {
	seen := map[string]bool{}
	for _, s := range h.Stops {
		seen[s.Kind] = true
		if !s.Clean {
			r.Fail("%s %s did not end cleanly", s.Kind, s.Target)
		}
	}
	for _, kind := range gracefulStops {
		if !seen[kind] {
			r.Fail("the run had no planned stop %q", kind)
		}
	}
	if len(h.Stops) < len(h.Faults) {
		r.Fail("%d planned stops began and %d ended", len(h.Faults), len(h.Stops))
	}
}
