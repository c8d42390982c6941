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

// executionRecord indexes the requests that the backend servers recorded as
// executed. Requests are identified by content: each one has a unique prompt, or
// a unique key and body.
type executionRecord struct {
	completions map[completionID][]standin.RequestRecord
	calls       map[callID][]standin.CallRecord
	// byAttempt indexes the calls by the ID of the attempt that executed them.
	byAttempt map[string]standin.CallRecord
}

// completionID identifies a completion in a history.
type completionID struct{ organisation, prompt string }

// callID identifies a call by its idempotency key, or by its body if it has none.
type callID struct{ organisation, key, body string }

// newCallID returns the ID of a call; the body is ignored if there is a key.
func newCallID(organisation, key, body string) callID {
	if key != "" {
		body = ""
	}
	return callID{organisation, key, body}
}

// String describes the call in violations.
func (id callID) String() string {
	return fmt.Sprintf("call key=%q body=%q of %s", id.key, id.body, id.organisation)
}

// recordedExecutions returns the completions and calls whose execution a backend
// server started.
func recordedExecutions(h *History) executionRecord {
	record := executionRecord{map[completionID][]standin.RequestRecord{}, map[callID][]standin.CallRecord{}, map[string]standin.CallRecord{}}
	for i := range h.Events {
		switch e := &h.Events[i]; {
		case e.Kind == standin.EventBegin && e.Request != nil:
			id := completionID{e.Request.Organisation, e.Request.Prompt}
			record.completions[id] = append(record.completions[id], *e.Request)
		case e.Kind == standin.EventCall && e.Call != nil:
			id := newCallID(e.Call.Organisation, e.Call.Key, e.Call.Body)
			record.calls[id] = append(record.calls[id], *e.Call)
			record.byAttempt[e.Call.Attempt] = *e.Call
		}
	}
	return record
}

// executionOf returns the execution that produced the answer of a call. The error
// says why the answer can't be attributed to the call; it completes a sentence
// that starts with the answer.
func (e *executionRecord) executionOf(o *Operation) (standin.CallRecord, error) {
	var answer standin.ServerResponse
	if err := json.Unmarshal([]byte(o.Answer), &answer); err != nil {
		return standin.CallRecord{}, fmt.Errorf("is not exactly one complete answer: %w", err)
	}
	hash := sha256.Sum256([]byte(o.Body))
	execution, known := e.byAttempt[answer.Attempt]
	switch {
	case !known:
		return execution, fmt.Errorf("names attempt %q, which no backend server executed", answer.Attempt)
	case answer.Organisation != o.Organisation || execution.Organisation != o.Organisation:
		return execution, fmt.Errorf("belongs to organisation %q", answer.Organisation)
	case answer.Key != o.Key || execution.Key != o.Key:
		return execution, fmt.Errorf("belongs to key %q", answer.Key)
	case answer.BodyHash != hex.EncodeToString(hash[:]) || execution.Body != o.Body:
		return execution, fmt.Errorf("belongs to body %q", execution.Body)
	}
	return execution, nil
}

// requireFaults counts the faults and adds a violation for each required one that
// was not recorded. Scheduled faults (kinds) have an entry in h.Faults. Faults in
// answers (events) have an event of the backend server that altered an answer or
// refused a request.
func requireFaults(h *History, r *Result, kinds, events []string) {
	r.Faults = len(h.Faults)
	seen := map[string]bool{}
	for _, f := range h.Faults {
		seen[f.Kind] = true
	}
	for _, e := range h.Events {
		switch e.Kind {
		case standin.EventFault:
			seen[e.Fault+" at "+backendKind(e.Instance)] = true
			r.Faults++
		case standin.EventRefuse:
			seen["refusal"] = true
		}
	}
	for _, kind := range kinds {
		if !seen[kind] {
			r.Fail("required fault %q was not recorded", kind)
		}
	}
	for _, kind := range events {
		if !seen[kind] {
			r.Fail("no backend server recorded fault %q", kind)
		}
	}
}

// serverPrefix is the prefix of the instance IDs of plain servers.
const serverPrefix = "s-"

// backendKind returns the kind of a backend server, "servers" or "engines".
func backendKind(instance string) string {
	if strings.HasPrefix(instance, serverPrefix) {
		return "servers"
	}
	return "engines"
}

// refusedAsNotRun reports whether an operation failed with the verdict NotRun.
func refusedAsNotRun(o *Operation) bool { return !o.OK && o.Verdict == verdict.NotRun }
