package prove

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// runs is the back ends' record of a history, by the identity that the request
// has in the proofs: each request has a prompt, or a key and body, of its own.
type runs struct {
	completions map[completionID][]standin.RequestRecord
	calls       map[callID][]standin.CallRecord
	byAttempt   map[string]standin.CallRecord
}

// completionID identifies a completion in a history.
type completionID struct{ organisation, prompt string }

// callID identifies a call: by its key, or by its body when it has none.
type callID struct{ organisation, key, body string }

// newCallID returns the identity of a call.
func newCallID(organisation, key, body string) callID {
	if key != "" {
		body = ""
	}
	return callID{organisation, key, body}
}

// String names the call in violations.
func (id callID) String() string {
	return fmt.Sprintf("call key=%q body=%q of %s", id.key, id.body, id.organisation)
}

// recordedRuns collects what the back ends began to run.
func recordedRuns(h *History) runs {
	r := runs{map[completionID][]standin.RequestRecord{}, map[callID][]standin.CallRecord{}, map[string]standin.CallRecord{}}
	for i := range h.Events {
		switch e := &h.Events[i]; {
		case e.Kind == standin.EventBegin && e.Request != nil:
			id := completionID{e.Request.Organisation, e.Request.Prompt}
			r.completions[id] = append(r.completions[id], *e.Request)
		case e.Kind == standin.EventCall && e.Call != nil:
			id := newCallID(e.Call.Organisation, e.Call.Key, e.Call.Body)
			r.calls[id] = append(r.calls[id], *e.Call)
			r.byAttempt[e.Call.Attempt] = *e.Call
		}
	}
	return r
}

// producedBy returns the run that produced the answer of a call, or why none
// did.
func (r *runs) producedBy(o *Operation) (standin.CallRecord, error) {
	var a standin.ServerResponse
	if err := json.Unmarshal([]byte(o.Answer), &a); err != nil {
		return standin.CallRecord{}, fmt.Errorf("is not one whole answer: %w", err)
	}
	hash := sha256.Sum256([]byte(o.Body))
	run, known := r.byAttempt[a.Attempt]
	switch {
	case !known:
		return run, fmt.Errorf("names attempt %q, which no back end ran", a.Attempt)
	case a.Organisation != o.Organisation || run.Organisation != o.Organisation:
		return run, fmt.Errorf("belongs to organisation %q", a.Organisation)
	case a.Key != o.Key || run.Key != o.Key:
		return run, fmt.Errorf("belongs to key %q", a.Key)
	case a.BodyHash != hex.EncodeToString(hash[:]) || run.Body != o.Body:
		return run, fmt.Errorf("belongs to body %q", run.Body)
	}
	return run, nil
}

// requireFaults fails a run in which a named fault never took hold. Faults of
// the schedule have an entry in h.Faults; those of answers have an event of the
// back end that changed an answer or refused a request.
func requireFaults(h *History, r *Result, kinds, events []string) {
	r.Faults = len(h.Faults)
	seen := map[string]bool{}
	for _, f := range h.Faults {
		seen[f.Kind] = true
	}
	for _, e := range h.Events {
		switch e.Kind {
		case standin.EventFault:
			seen[e.Fault+" at "+backEndKind(e.Instance)] = true
			r.Faults++
		case standin.EventRefuse:
			seen["refusal"] = true
		}
	}
	for _, kind := range kinds {
		if !seen[kind] {
			r.Fail("fault %q never took hold", kind)
		}
	}
	for _, kind := range events {
		if !seen[kind] {
			r.Fail("no back end recorded fault %q", kind)
		}
	}
}

// serverPrefix starts the identities of plain servers in the proofs.
const serverPrefix = "s-"

// backEndKind names the kind of a back end.
func backEndKind(instance string) string {
	if strings.HasPrefix(instance, serverPrefix) {
		return "servers"
	}
	return "engines"
}

// notRun tells whether an operation was refused as not run.
func notRun(o *Operation) bool { return !o.OK && o.Verdict == verdict.NotRun }
