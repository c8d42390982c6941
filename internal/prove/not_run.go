package prove

import "github.com/rattanlanding/rattanlanding/verdict"

// notRunFaults are the faults that a run of not-run must have seen, and
// notRunEvents those that a back end must have recorded.
var (
	notRunFaults = []string{
		"kill engine", "freeze engine", "kill server", "freeze server", "lose answers", "cut answers",
		"platform down", "kill node", "freeze node",
	}
	notRunEvents = []string{
		"lose at engines", "lose at servers", "truncate at engines", "truncate at servers", "refusal",
	}
)

// CheckNotRun checks that no request refused as not run is in the record of any
// back end. A request sent several times counts as refused if every try was.
func CheckNotRun(h *History) Result {
	var r Result
	record := recordedRuns(h)
	completions, calls := map[completionID]bool{}, map[callID]bool{}
	unknown := 0
	for i := range h.Operations {
		o := &h.Operations[i]
		refused := notRun(o)
		if refused {
			r.Operations++
		} else if !o.OK && o.Verdict == verdict.MayHaveRun {
			unknown++
		}
		switch o.Kind {
		case OpCompletion:
			id := completionID{o.Organisation, o.Prompt}
			before, seen := completions[id]
			completions[id] = refused && (before || !seen)
		case OpCall:
			id := newCallID(o.Organisation, o.Key, o.Body)
			before, seen := calls[id]
			calls[id] = refused && (before || !seen)
		}
	}
	for id, refused := range completions {
		if run := record.completions[id]; refused && len(run) > 0 {
			r.Fail("completion %q of %s was refused as not run and ran as attempt %s", id.prompt, id.organisation, run[0].Attempt)
		}
	}
	for id, refused := range calls {
		if run := record.calls[id]; refused && len(run) > 0 {
			r.Fail("%s was refused as not run and ran as attempt %s", id, run[0].Attempt)
		}
	}
	if unknown == 0 {
		r.Fail("no request had an unknown outcome, so the verdict was not put to the test")
	}
	requireFaults(h, &r, notRunFaults, notRunEvents)
	r.RequireActivity()
	return r
}
