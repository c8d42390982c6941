package prove

import (
	"github.com/anishathalye/porcupine"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

var (
	// atMostOnceFaults are the scheduled faults that a run of at-most-once requires.
	atMostOnceFaults = []string{
		"kill node", "freeze node", "kill server", "lose answers", "delay answers",
		"platform loses answers", "platform slow", "platform down",
	}
	// atMostOnceEvents are the faults in answers that backend servers must have
	// recorded.
	atMostOnceEvents = []string{"lose at servers"}
)

// CheckAtMostOnce checks that no call was executed twice, that each answer was
// produced by the execution of its call, that retries get the first answer, and
// that each key's history is linearizable with respect to callModel.
func CheckAtMostOnce(h *History) Result {
	var r Result
	record := recordedExecutions(h)
	for id, executions := range record.calls {
		if len(executions) > 1 {
			r.Fail("%s was executed %d times, by attempts %s and %s", id, len(executions), executions[0].Attempt, executions[1].Attempt)
		}
	}
	firstAnswer, attempts, repeatsAnswered := map[callID]string{}, map[callID]int{}, 0
	for i := range h.Operations {
		o := &h.Operations[i]
		if o.Kind != OpCall {
			continue
		}
		r.Operations++
		id := newCallID(o.Organisation, o.Key, o.Body)
		attempts[id]++
		if !o.OK {
			continue
		}
		if _, err := record.executionOf(o); err != nil {
			r.Fail("the answer of %s %v", id, err)
		}
		if answer, known := firstAnswer[id]; known && answer != o.Answer {
			r.Fail("%s got answer %q and then a different one: %q", id, answer, o.Answer)
		}
		firstAnswer[id] = o.Answer
		if attempts[id] > 1 {
			repeatsAnswered++
		}
	}
	if repeatsAnswered == 0 {
		r.Fail("no retry got an answer")
	}
	for id, operations := range callOperations(h, &record) {
		if !porcupine.CheckOperations(callModel, operations) {
			r.Fail("the history of %s is not linearizable", id)
		}
	}
	requireFaults(h, &r, atMostOnceFaults, atMostOnceEvents)
	r.RequireActivity()
	return r
}

// callStep is one operation on a key: an execution recorded by a backend server,
// or one attempt of the caller with its outcome.
type callStep struct {
	// executed is the ID of the attempt that a backend server executed; it is empty
	// for a caller's attempt.
	executed string
	// answered is true if the caller got an answer.
	answered bool
	// attempt is the ID of the attempt that produced the answer.
	attempt string
	answer  string
}

// callPhase is the progress of the call with a key.
type callPhase uint8

const (
	// callNotRun: no backend server has executed the call.
	callNotRun callPhase = iota
	// callMayHaveRun: a backend server has started to execute the call.
	callMayHaveRun
	// callAnswered: the caller got an answer.
	callAnswered
)

// callState is the model's state of one key.
type callState struct {
	phase   callPhase
	attempt string
	answer  string
}

// callModel is the linearizability model of one call with an idempotency key. The
// call is executed once, an answer comes from that execution, and later answers
// equal the first. A refused attempt, or one with an unknown outcome, does not
// change the state.
var callModel = porcupine.Model{
	Init: func() any { return callState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, step := state.(callState), input.(callStep)
		switch {
		case step.executed != "":
			return s.phase == callNotRun, callState{phase: callMayHaveRun, attempt: step.executed}
		case !step.answered:
			return true, s
		case s.phase == callMayHaveRun:
			return s.attempt == step.attempt, callState{callAnswered, s.attempt, step.answer}
		default:
			return s.phase == callAnswered && s.answer == step.answer, s
		}
	},
}

// callOperations returns the model's operations for each call with a key.
func callOperations(h *History, record *executionRecord) map[callID][]porcupine.Operation {
	all := map[callID][]porcupine.Operation{}
	for i := range h.Operations {
		o := &h.Operations[i]
		if o.Kind != OpCall || o.Key == "" {
			continue
		}
		step := callStep{answered: o.OK, answer: o.Answer}
		if execution, err := record.executionOf(o); o.OK && err == nil {
			step.attempt = execution.Attempt
		}
		id := newCallID(o.Organisation, o.Key, o.Body)
		all[id] = append(all[id], porcupine.Operation{
			ClientId: len(all[id]), Input: step, Call: o.Start.UnixNano(), Return: o.End.UnixNano(),
		})
	}
	for id := range all {
		for _, execution := range record.calls[id] {
			all[id] = append(all[id], executionOperation(len(all[id]), execution))
		}
	}
	return all
}

// executionOperation returns the model's operation for an execution, which takes effect
// when the backend server records it.
func executionOperation(client int, execution standin.CallRecord) porcupine.Operation {
	at := execution.At.UnixNano()
	return porcupine.Operation{ClientId: client, Input: callStep{executed: execution.Attempt}, Call: at, Return: at + 1}
}
