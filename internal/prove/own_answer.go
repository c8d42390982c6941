package prove

import (
	"strings"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

var (
	// ownAnswerFaults are the scheduled faults that a run of own-answer requires.
	ownAnswerFaults = []string{"kill engine", "kill node", "distort engines", "distort servers", "delay answers"}
	// ownAnswerEvents are the faults in answers that backend servers must have
	// recorded.
	ownAnswerEvents = []string{
		"cross at engines", "cross-body at engines", "double at engines", "double-events at engines",
		"truncate at engines", "lose at engines", "cross at servers", "cross-body at servers", "double at servers",
		"truncate at servers", "lose at servers",
	}
)

// CheckOwnAnswer checks that every answer delivered as complete was produced for
// that request and organisation, and that the partial text of a failed stream
// belongs to its own request. The run must have resumed a stream.
func CheckOwnAnswer(h *History) Result {
	var r Result
	record := recordedExecutions(h)
	for i := range h.Operations {
		switch o := &h.Operations[i]; o.Kind {
		case OpCompletion:
			checkCompletion(o, &r)
		case OpCall:
			if !o.OK {
				continue
			}
			r.Operations++
			if _, err := record.executionOf(o); err != nil {
				r.Fail("answer of call %q of %s %v: %.200q", o.Key+o.Body, o.Organisation, err, o.Answer)
			}
		}
	}
	requireResumedStream(h, &record, &r)
	requireFaults(h, &r, ownAnswerFaults, ownAnswerEvents)
	r.RequireActivity()
	return r
}

// checkCompletion compares a completion with the expected text, which the stand-in
// computes from the organisation and the prompt.
func checkCompletion(o *Operation, r *Result) {
	expected := standin.Text(o.Organisation, o.Prompt, 0, o.MaxTokens)
	switch {
	case o.OK:
		r.Operations++
		if o.Text != expected {
			r.Fail("completion %q of %s was delivered as complete with %d bytes that differ from the expected %d: %.120q",
				o.Prompt, o.Organisation, len(o.Text), len(expected), o.Text)
		}
	case !strings.HasPrefix(expected, o.Text):
		r.Fail("completion %q of %s failed after text that differs from the expected: %.120q", o.Prompt, o.Organisation, o.Text)
	}
}

// requireResumedStream adds a violation if no complete answer was delivered by an
// attempt that resumed a stream.
func requireResumedStream(h *History, record *executionRecord, r *Result) {
	for i := range h.Operations {
		o := &h.Operations[i]
		for _, run := range record.completions[completionID{o.Organisation, o.Prompt}] {
			if o.OK && run.ResumeTokens > 0 {
				return
			}
		}
	}
	r.Fail("no resumed stream was delivered as complete")
}
