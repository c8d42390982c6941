package prove

import (
	"strings"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// ownAnswerFaults are the faults that a run of own-answer must have seen, and
// ownAnswerEvents those that a back end must have recorded.
var (
	ownAnswerFaults = []string{"kill engine", "kill node", "distort engines", "distort servers", "delay answers"}
	ownAnswerEvents = []string{
		"cross at engines", "cross-body at engines", "double at engines", "double-events at engines",
		"truncate at engines", "lose at engines", "cross at servers", "cross-body at servers", "double at servers",
		"truncate at servers", "lose at servers",
	}
)

// CheckOwnAnswer checks that every answer delivered as whole is the one that was
// produced for that request and organisation, and that no part of a stream that
// failed belongs to another request. A stream must have been resumed.
func CheckOwnAnswer(h *History) Result {
	var r Result
	record := recordedRuns(h)
	for i := range h.Operations {
		switch o := &h.Operations[i]; o.Kind {
		case OpCompletion:
			checkText(o, &r)
		case OpCall:
			if !o.OK {
				continue
			}
			r.Operations++
			if _, err := record.producedBy(o); err != nil {
				r.Fail("answer of call %q of %s %v: %.200q", o.Key+o.Body, o.Organisation, err, o.Answer)
			}
		}
	}
	checkResumed(h, &record, &r)
	requireFaults(h, &r, ownAnswerFaults, ownAnswerEvents)
	r.RequireActivity()
	return r
}

// checkText compares a completion with the computed output.
func checkText(o *Operation, r *Result) {
	expected := standin.Text(o.Organisation, o.Prompt, 0, o.MaxTokens)
	switch {
	case o.OK:
		r.Operations++
		if o.Text != expected {
			r.Fail("completion %q of %s was delivered as whole with %d bytes that are not its %d: %.120q",
				o.Prompt, o.Organisation, len(o.Text), len(expected), o.Text)
		}
	case !strings.HasPrefix(expected, o.Text):
		r.Fail("completion %q of %s failed after text that is not its own: %.120q", o.Prompt, o.Organisation, o.Text)
	}
}

// checkResumed fails a run in which no completion was delivered whole by an
// attempt that resumed it.
func checkResumed(h *History, record *runs, r *Result) {
	for i := range h.Operations {
		o := &h.Operations[i]
		for _, run := range record.completions[completionID{o.Organisation, o.Prompt}] {
			if o.OK && run.ResumeTokens > 0 {
				return
			}
		}
	}
	r.Fail("no stream was resumed and delivered whole")
}
