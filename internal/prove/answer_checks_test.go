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

// at returns a time of a hand-made history.
func atMs(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

const who = "lopinot-growers"

// ran returns the event of a plain server's run and the answer it produced.
func ran(ms int, attempt, key, body string) (standin.Event, string) {
	hash := sha256.Sum256([]byte(body))
	answer, _ := json.Marshal(standin.ServerResponse{
		Attempt: attempt, Organisation: who, Key: key, BodyHash: hex.EncodeToString(hash[:]),
	})
	call := standin.CallRecord{At: atMs(ms), Attempt: attempt, Organisation: who, Key: key, Body: body}
	return standin.Event{At: atMs(ms), Kind: standin.EventCall, Call: &call}, string(answer)
}

// begun returns the event of an engine's run.
func begun(prompt string, resumed int) standin.Event {
	return standin.Event{Kind: standin.EventBegin, Request: &standin.RequestRecord{
		Attempt: "a", Organisation: who, Prompt: prompt, ResumeTokens: resumed,
	}}
}

// completed returns a completion that was delivered as whole.
func completed(prompt, text string) Operation {
	return Operation{Kind: OpCompletion, Organisation: who, Prompt: prompt, MaxTokens: 4, OK: true, Text: text,
		Start: atMs(0), End: atMs(20)}
}

// called returns a call that got answer; an empty one means an unknown outcome.
func called(from, to int, key, body, answer string) Operation {
	o := Operation{Kind: OpCall, Organisation: who, Key: key, Body: body, Start: atMs(from), End: atMs(to),
		OK: answer != "", Answer: answer}
	if answer == "" {
		o.Verdict = verdict.MayHaveRun
	}
	return o
}

// refused returns o as refused as not run.
func refused(o Operation) Operation {
	o.OK, o.Text, o.Answer, o.Verdict = false, "", "", verdict.NotRun
	return o
}

// faulty adds the faults and events that a check requires.
func faulty(h *History, kinds, events []string) *History {
	for _, kind := range kinds {
		h.Faults = append(h.Faults, Fault{Kind: kind, From: atMs(5), To: atMs(15)})
	}
	for _, event := range events {
		for _, instance := range []string{"e0-0", serverPrefix + "0"} {
			if fault, found := strings.CutSuffix(event, " at "+backEndKind(instance)); found {
				h.Events = append(h.Events, standin.Event{Kind: standin.EventFault, Instance: instance, Fault: fault})
			}
		}
	}
	h.Events = append(h.Events, standin.Event{Kind: standin.EventRefuse, Instance: "e0-0"})
	return h
}

// problem matches a result with a violation that contains text.
func problem(text string) OmegaMatcher {
	return HaveField("Problems", ContainElement(ContainSubstring(text)))
}

var _ = Describe("CheckOwnAnswer", func() {
	history := func(change func(h *History)) *History {
		event, answer := ran(10, "a1", "k1", "b1")
		h := &History{
			Operations: []Operation{completed("p", standin.Text(who, "p", 0, 4)), called(5, 20, "k1", "b1", answer)},
			Events:     []standin.Event{event, begun("p", 2)},
		}
		faulty(h, ownAnswerFaults, ownAnswerEvents)
		change(h)
		return h
	}

	It("accepts each caller's own whole answer", func() {
		// Guards against a check that is red whatever happens.
		Expect(CheckOwnAnswer(history(func(*History) {})).Problems).To(BeEmpty())
	})

	DescribeTable("finds", func(text string, change func(h *History)) {
		// Guards against a check that is green whatever happens.
		Expect(CheckOwnAnswer(history(change))).To(problem(text))
	},
		Entry("another prompt's text", "not its", func(h *History) { h.Operations[0].Text = standin.Text(who, "q", 0, 4) }),
		Entry("another organisation's text", "not its", func(h *History) { h.Operations[0].Text = standin.Text("x", "p", 0, 4) }),
		Entry("a short text as whole", "not its", func(h *History) { h.Operations[0].Text = standin.Text(who, "p", 0, 3) }),
		Entry("a wrong part before an error", "text that is not its own", func(h *History) {
			h.Operations[0].OK, h.Operations[0].Text = false, standin.Text(who, "p", 1, 3)
		}),
		Entry("another key's answer", "belongs to key", func(h *History) { h.Operations[1].Key = "k2" }),
		Entry("another body's answer", "belongs to body", func(h *History) { h.Operations[1].Body = "b2" }),
		Entry("another organisation's answer", "belongs to organisation", func(h *History) { h.Operations[1].Organisation = "x" }),
		Entry("a doubled answer", "not one whole answer", func(h *History) { h.Operations[1].Answer += h.Operations[1].Answer }),
		Entry("an answer that nobody produced", "no back end ran", func(h *History) { h.Events[0].Call = nil }),
		Entry("no resumed stream", "no stream was resumed", func(h *History) { h.Events[1] = begun("p", 0) }),
		Entry("a fault that never took hold", "never took hold", func(h *History) { h.Faults = h.Faults[1:] }),
		Entry("no crossed answer", `recorded fault "cross at engines"`, func(h *History) { h.Events = h.Events[:2] }),
	)
})

var _ = Describe("CheckNotRun", func() {
	history := func(operations []Operation, events ...standin.Event) *History {
		unknown := called(0, 9, "other", "other", "")
		return faulty(&History{Operations: append(operations, unknown), Events: events}, notRunFaults, notRunEvents)
	}

	It("accepts refusals of what never ran, also beside a try that ran", func() {
		// Guards against a check that blames a refused repeat for the first try.
		event, answer := ran(10, "a1", "k1", "b1")
		again := called(30, 40, "k1", "b1", answer)
		h := history([]Operation{refused(completed("p", "")), again, refused(again), refused(called(0, 9, "", "b9", ""))}, event)
		Expect(CheckNotRun(h).Problems).To(BeEmpty())
	})

	DescribeTable("finds", func(o Operation, event standin.Event) {
		// Guards against a check that misses a run of one kind.
		Expect(CheckNotRun(history([]Operation{refused(o)}, event))).To(problem("refused as not run and ran"))
	},
		Entry("a completion that ran", completed("p", ""), begun("p", 0)),
		Entry("a call with a key that ran", called(0, 9, "k1", "b1", ""), first(ran(10, "a1", "k1", "b1"))),
		Entry("a call without a key that ran", called(0, 9, "", "b1", ""), first(ran(10, "a1", "", "b1"))),
	)

	It("refuses a run that proved nothing", func() {
		// Guards against a green run without refusals or unknown outcomes.
		Expect(CheckNotRun(faulty(&History{}, notRunFaults, notRunEvents))).To(And(
			problem("no operation"), problem("put to the test")))
	})
})

func first(event standin.Event, _ string) standin.Event { return event }

var _ = Describe("CheckAtMostOnce", func() {
	event, answer := ran(10, "a1", "k1", "b1")
	otherEvent, otherAnswer := ran(50, "a2", "k1", "b1")
	once, _ := ran(12, "a3", "", "b3")
	history := func(operations []Operation, events ...standin.Event) *History {
		return faulty(&History{Operations: operations, Events: events}, atMostOnceFaults, atMostOnceEvents)
	}
	tries := []Operation{
		called(0, 20, "k1", "b1", ""), called(30, 40, "k1", "b1", answer), refused(called(42, 44, "k1", "b1", "")),
		called(45, 48, "k1", "b1", answer), called(5, 15, "", "b3", ""),
	}

	It("accepts one run whose answer every repeat gets", func() {
		// Guards against a check that is red whatever happens.
		Expect(CheckAtMostOnce(history(tries, event, once)).Problems).To(BeEmpty())
	})

	DescribeTable("finds", func(text string, operations []Operation, events ...standin.Event) {
		// Guards against a second deposit, and repeats that get another answer.
		Expect(CheckAtMostOnce(history(operations, events...))).To(problem(text))
	},
		Entry("a second run", "ran 2 times", tries, event, once, otherEvent),
		Entry("a second run in the model", "not linearizable", tries, event, otherEvent),
		Entry("a second run without a key", "ran 2 times", tries, event, once, once),
		Entry("another answer for a repeat", "and then", append([]Operation{called(50, 60, "k1", "b1", otherAnswer)}, tries...), event, otherEvent),
		Entry("an answer before its run", "not linearizable", []Operation{called(0, 5, "k1", "b1", answer)}, event),
		Entry("an answer that no run produced", "no back end ran", tries),
		Entry("no repeat", "no repeat got an answer", tries[:1], event),
	)
})
