package prove

import (
	"github.com/anishathalye/porcupine"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// atMostOnceFaults are the faults that a run of at-most-once must have seen, and
// atMostOnceEvents those that a back end must have recorded.
var (
	atMostOnceFaults = []string{
		"kill node", "freeze node", "kill server", "lose answers", "delay answers",
		"platform loses answers", "platform slow", "platform down",
	}
	atMostOnceEvents = []string{"lose at servers"}
)

// CheckAtMostOnce checks that no call ran twice, that each answer was produced
// by the run of its call, that repeats get the first answer, and that each key's
// history agrees with callModel.
func CheckAtMostOnce(h *History) Result {
	var r Result
	record := recordedRuns(h)
	for id, run := range record.calls {
		if len(run) > 1 {
			r.Fail("%s ran %d times, as attempts %s and %s", id, len(run), run[0].Attempt, run[1].Attempt)
		}
	}
	first, tries, repeated := map[callID]string{}, map[callID]int{}, 0
	for i := range h.Operations {
		o := &h.Operations[i]
		if o.Kind != OpCall {
			continue
		}
		r.Operations++
		id := newCallID(o.Organisation, o.Key, o.Body)
		tries[id]++
		if !o.OK {
			continue
		}
		if _, err := record.producedBy(o); err != nil {
			r.Fail("the answer of %s %v", id, err)
		}
		if answer, known := first[id]; known && answer != o.Answer {
			r.Fail("%s got answer %q and then %q", id, answer, o.Answer)
		}
		first[id] = o.Answer
		if tries[id] > 1 {
			repeated++
		}
	}
	if repeated == 0 {
		r.Fail("no repeat got an answer")
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

// callStep is one operation on a key: a run in a back end's record, or a try of
// the caller with its outcome.
type callStep struct {
	// run is the attempt that a back end ran; empty for a caller's try.
	run string
	// answered tells that the try got answer, which attempt produced.
	answered bool
	attempt  string
	answer   string
}

// callPhase is what is known of a key: it has not run, it may have run (a back
// end has it), or it was answered.
type callPhase uint8

const (
	callNotRun callPhase = iota
	callMayHaveRun
	callAnswered
)

// callState is the model's state of one key.
type callState struct {
	phase   callPhase
	attempt string
	answer  string
}

// callModel is one call with an idempotency key. It runs once, an answer comes
// from that run, and later answers equal the first. A refused try and one with
// an unknown outcome change nothing by themselves.
var callModel = porcupine.Model{
	Init: func() any { return callState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, step := state.(callState), input.(callStep)
		switch {
		case step.run != "":
			return s.phase == callNotRun, callState{phase: callMayHaveRun, attempt: step.run}
		case !step.answered:
			return true, s
		case s.phase == callMayHaveRun:
			return s.attempt == step.attempt, callState{callAnswered, s.attempt, step.answer}
		default:
			return s.phase == callAnswered && s.answer == step.answer, s
		}
	},
}

// callOperations returns the operations of each call with a key.
func callOperations(h *History, record *runs) map[callID][]porcupine.Operation {
	all := map[callID][]porcupine.Operation{}
	for i := range h.Operations {
		o := &h.Operations[i]
		if o.Kind != OpCall || o.Key == "" {
			continue
		}
		step := callStep{answered: o.OK, answer: o.Answer}
		if run, err := record.producedBy(o); o.OK && err == nil {
			step.attempt = run.Attempt
		}
		id := newCallID(o.Organisation, o.Key, o.Body)
		all[id] = append(all[id], porcupine.Operation{
			ClientId: len(all[id]), Input: step, Call: o.Start.UnixNano(), Return: o.End.UnixNano(),
		})
	}
	for id := range all {
		for _, run := range record.calls[id] {
			all[id] = append(all[id], runOperation(len(all[id]), run))
		}
	}
	return all
}

// runOperation returns the operation of a run, which takes effect when the back
// end records it.
func runOperation(client int, run standin.CallRecord) porcupine.Operation {
	at := run.At.UnixNano()
	return porcupine.Operation{ClientId: client, Input: callStep{run: run.Attempt}, Call: at, Return: at + 1}
}
