package prove

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// atMs returns the time of a hand-made history that is ms milliseconds after its
// start.
func atMs(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

// testOrganisation is the organisation of hand-made requests.
const testOrganisation = "lopinot-growers"

// executedCall returns the event of a call executed by a plain server, and the
// answer that the server produced.
func executedCall(ms int, attempt, key, body string) (standin.Event, string) {
	hash := sha256.Sum256([]byte(body))
	answer, _ := json.Marshal(standin.ServerResponse{
		Attempt: attempt, Organisation: testOrganisation, Key: key, BodyHash: hex.EncodeToString(hash[:]),
	})
	call := standin.CallRecord{At: atMs(ms), Attempt: attempt, Organisation: testOrganisation, Key: key, Body: body}
	return standin.Event{At: atMs(ms), Kind: standin.EventCall, Call: &call}, string(answer)
}

// beginEvent returns the event of an engine that starts a completion; resumed is
// the number of tokens that earlier attempts delivered.
func beginEvent(prompt string, resumed int) standin.Event {
	return standin.Event{Kind: standin.EventBegin, Request: &standin.RequestRecord{
		Attempt: "a", Organisation: testOrganisation, Prompt: prompt, ResumeTokens: resumed,
	}}
}

// completionOp returns a completion that was delivered as complete.
func completionOp(prompt, text string) Operation {
	return Operation{Kind: OpCompletion, Organisation: testOrganisation, Prompt: prompt, MaxTokens: 4, OK: true, Text: text,
		Start: atMs(0), End: atMs(20)}
}

// callOp returns a call that got the answer; an empty answer stands for an unknown
// outcome.
func callOp(from, to int, key, body, answer string) Operation {
	o := Operation{Kind: OpCall, Organisation: testOrganisation, Key: key, Body: body, Start: atMs(from), End: atMs(to),
		OK: answer != "", Answer: answer}
	if answer == "" {
		o.Verdict = verdict.MayHaveRun
	}
	return o
}

// asRefused returns o with the outcome of a request refused with the verdict
// NotRun.
func asRefused(o Operation) Operation {
	o.OK, o.Text, o.Answer, o.Verdict = false, "", "", verdict.NotRun
	return o
}

// withRequiredFaults adds the faults and events that a check requires to h.
func withRequiredFaults(h *History, kinds, events []string) *History {
	for _, kind := range kinds {
		h.Faults = append(h.Faults, Fault{Kind: kind, From: atMs(5), To: atMs(15)})
	}
	for _, event := range events {
		for _, instance := range []string{"e0-0", serverPrefix + "0"} {
			if fault, found := strings.CutSuffix(event, " at "+backendKind(instance)); found {
				h.Events = append(h.Events, standin.Event{Kind: standin.EventFault, Instance: instance, Fault: fault})
			}
		}
	}
	h.Events = append(h.Events, standin.Event{Kind: standin.EventRefuse, Instance: "e0-0"})
	return h
}

// haveViolation matches a Result with a violation that contains text.
func haveViolation(text string) OmegaMatcher {
	return HaveField("Violations", ContainElement(ContainSubstring(text)))
}

var _ = Describe("CheckOwnAnswer", func() {
	history := func(change func(h *History)) *History {
		event, answer := executedCall(10, "a1", "k1", "b1")
		h := &History{
			Operations: []Operation{completionOp("p", standin.Text(testOrganisation, "p", 0, 4)), callOp(5, 20, "k1", "b1", answer)},
			Events:     []standin.Event{event, beginEvent("p", 2)},
		}
		withRequiredFaults(h, ownAnswerFaults, ownAnswerEvents)
		change(h)
		return h
	}

	It("accepts each caller's own complete answer", func() {
		// Guards against a check that fails for a valid history.
		Expect(CheckOwnAnswer(history(func(*History) {})).Violations).To(BeEmpty())
	})

	DescribeTable("reports a violation for", func(text string, change func(h *History)) {
		// Guards against a check that accepts a history with a violation.
		Expect(CheckOwnAnswer(history(change))).To(haveViolation(text))
	},
		Entry("another prompt's text", "that differ from the expected", func(h *History) { h.Operations[0].Text = standin.Text(testOrganisation, "q", 0, 4) }),
		Entry("another organisation's text", "that differ from the expected", func(h *History) { h.Operations[0].Text = standin.Text("x", "p", 0, 4) }),
		Entry("a truncated text delivered as complete", "that differ from the expected", func(h *History) { h.Operations[0].Text = standin.Text(testOrganisation, "p", 0, 3) }),
		Entry("a wrong partial text before an error", "failed after text that differs from the expected", func(h *History) {
			h.Operations[0].OK, h.Operations[0].Text = false, standin.Text(testOrganisation, "p", 1, 3)
		}),
		Entry("another key's answer", "belongs to key", func(h *History) { h.Operations[1].Key = "k2" }),
		Entry("another body's answer", "belongs to body", func(h *History) { h.Operations[1].Body = "b2" }),
		Entry("another organisation's answer", "belongs to organisation", func(h *History) { h.Operations[1].Organisation = "x" }),
		Entry("a doubled answer", "is not exactly one complete answer", func(h *History) { h.Operations[1].Answer += h.Operations[1].Answer }),
		Entry("an answer that no backend server produced", "which no backend server executed", func(h *History) { h.Events[0].Call = nil }),
		Entry("no resumed stream", "no resumed stream was delivered", func(h *History) { h.Events[1] = beginEvent("p", 0) }),
		Entry("a required fault that was not recorded", "was not recorded", func(h *History) { h.Faults = h.Faults[1:] }),
		Entry("no recorded fault in an answer", `no backend server recorded fault "cross at engines"`, func(h *History) { h.Events = h.Events[:2] }),
	)
})

var _ = Describe("CheckNotRun", func() {
	history := func(operations []Operation, events ...standin.Event) *History {
		unknown := callOp(0, 9, "other", "other", "")
		return withRequiredFaults(&History{Operations: append(operations, unknown), Events: events}, notRunFaults, notRunEvents)
	}

	It("accepts refused requests that were not executed, and a refused retry of a call that was", func() {
		// Guards against a check that fails because a retry was refused although an
		// earlier attempt of the same call was executed.
		event, answer := executedCall(10, "a1", "k1", "b1")
		again := callOp(30, 40, "k1", "b1", answer)
		h := history([]Operation{asRefused(completionOp("p", "")), again, asRefused(again), asRefused(callOp(0, 9, "", "b9", ""))}, event)
		Expect(CheckNotRun(h).Violations).To(BeEmpty())
	})

	DescribeTable("reports a violation for", func(o Operation, event standin.Event) {
		// Guards against a check that misses the execution of one kind of request.
		Expect(CheckNotRun(history([]Operation{asRefused(o)}, event))).To(haveViolation("refused as not run but executed"))
	},
		Entry("a completion that was executed", completionOp("p", ""), beginEvent("p", 0)),
		Entry("a call with a key that was executed", callOp(0, 9, "k1", "b1", ""), eventOf(executedCall(10, "a1", "k1", "b1"))),
		Entry("a call without a key that was executed", callOp(0, 9, "", "b1", ""), eventOf(executedCall(10, "a1", "", "b1"))),
	)

	It("reports a run without refusals or unknown outcomes", func() {
		// Guards against accepting a run without refusals or unknown outcomes.
		Expect(CheckNotRun(withRequiredFaults(&History{}, notRunFaults, notRunEvents))).To(And(
			haveViolation("no operation"), haveViolation("verdict was not tested")))
	})
})

// eventOf returns the event from the results of executedCall.
func eventOf(event standin.Event, _ string) standin.Event { return event }

var _ = Describe("CheckAtMostOnce", func() {
	event, answer := executedCall(10, "a1", "k1", "b1")
	otherEvent, otherAnswer := executedCall(50, "a2", "k1", "b1")
	once, _ := executedCall(12, "a3", "", "b3")
	history := func(operations []Operation, events ...standin.Event) *History {
		return withRequiredFaults(&History{Operations: operations, Events: events}, atMostOnceFaults, atMostOnceEvents)
	}
	tries := []Operation{
		callOp(0, 20, "k1", "b1", ""), callOp(30, 40, "k1", "b1", answer), asRefused(callOp(42, 44, "k1", "b1", "")),
		callOp(45, 48, "k1", "b1", answer), callOp(5, 15, "", "b3", ""),
	}

	It("accepts one execution whose answer every retry gets", func() {
		// Guards against a check that fails for a valid history.
		Expect(CheckAtMostOnce(history(tries, event, once)).Violations).To(BeEmpty())
	})

	DescribeTable("reports a violation for", func(text string, operations []Operation, events ...standin.Event) {
		// Guards against a check that misses a second execution (such as a second
		// deposit), or a retry that gets a different answer.
		Expect(CheckAtMostOnce(history(operations, events...))).To(haveViolation(text))
	},
		Entry("a second execution", "was executed 2 times", tries, event, once, otherEvent),
		Entry("a second execution in the linearizability model", "not linearizable", tries, event, otherEvent),
		Entry("a second execution without a key", "was executed 2 times", tries, event, once, once),
		Entry("another answer for a retry", "and then a different one", append([]Operation{callOp(50, 60, "k1", "b1", otherAnswer)}, tries...), event, otherEvent),
		Entry("an answer before its execution", "not linearizable", []Operation{callOp(0, 5, "k1", "b1", answer)}, event),
		Entry("an answer that no execution produced", "which no backend server executed", tries),
		Entry("no retry", "no retry got an answer", tries[:1], event),
	)
})
