package prove

import "github.com/rattanlanding/rattanlanding/verdict"

var (
	// notRunFaults are the scheduled faults that a run of not-run requires.
	notRunFaults = []string{
		"kill engine", "freeze engine", "kill server", "freeze server", "lose answers", "cut answers",
		"platform down", "kill node", "freeze node",
	}
	// notRunEvents are the faults in answers and the refusals that backend servers
	// must have recorded.
	notRunEvents = []string{
		"lose at engines", "lose at servers", "truncate at engines", "truncate at servers", "refusal",
	}
)

// CheckNotRun checks that no backend server executed a request that failed with
// the verdict NotRun. A request sent several times counts as not run if every
// attempt got that verdict.
func CheckNotRun(h *History) Result {
	var r Result
	record := recordedExecutions(h)
	completions, calls := map[completionID]bool{}, map[callID]bool{}
	unknownOutcomes := 0
	for i := range h.Operations {
		o := &h.Operations[i]
		refused := refusedAsNotRun(o)
		if refused {
			r.Operations++
		} else if !o.OK && o.Verdict == verdict.MayHaveRun {
			unknownOutcomes++
		}
		switch o.Kind {
		case OpCompletion:
			id := completionID{o.Organisation, o.Prompt}
			allRefused, seen := completions[id]
			completions[id] = refused && (allRefused || !seen)
		case OpCall:
			id := newCallID(o.Organisation, o.Key, o.Body)
			allRefused, seen := calls[id]
			calls[id] = refused && (allRefused || !seen)
		}
	}
	for id, refused := range completions {
		if run := record.completions[id]; refused && len(run) > 0 {
			r.Fail("completion %q of %s was refused as not run but executed as attempt %s", id.prompt, id.organisation, run[0].Attempt)
		}
	}
	for id, refused := range calls {
		if run := record.calls[id]; refused && len(run) > 0 {
			r.Fail("%s was refused as not run but executed as attempt %s", id, run[0].Attempt)
		}
	}
	if unknownOutcomes == 0 {
		r.Fail("no request had an unknown outcome, so the verdict was not tested")
	}
	requireFaults(h, &r, notRunFaults, notRunEvents)
	r.RequireActivity()
	return r
}
