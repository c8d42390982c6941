package claim

import (
	"time"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// inProgressRetry is the advice given to a repeat whose first call may still be
// running.
const inProgressRetry = time.Second

// change tells what applying an operation did to a partition.
type change uint8

const (
	changeNone change = iota
	changeMade
)

// result is the outcome of one operation.
type result struct {
	claimed bool
	answer  *Answer
	err     error
	// pending tells that another attempt holds the claim and may still answer.
	pending bool
}

// operation is one step on a partition. Applying it twice has the effect of
// applying it once, so it can be repeated after a conflict or a lost response.
type operation interface {
	apply(p *partition) (result, change)
}

// beginOperation makes a claim if the key has none.
type beginOperation struct {
	name      string
	hash      string
	attempt   string
	createdMs int64
	full      bool
}

func (o *beginOperation) apply(p *partition) (result, change) {
	e, exists := p.entries[o.name]
	if exists && e.State != stateReleased && e.Hash != o.hash {
		return result{err: verdict.New(verdict.NotRun, verdict.ReasonKeyReused,
			"the idempotency key was used for a different call")}, changeNone
	}
	if exists && e.Attempt == o.attempt && e.State == stateClaimed {
		return result{claimed: true}, changeNone
	}
	if exists && e.State != stateReleased {
		return existingResult(e), changeNone
	}
	if o.full {
		return result{err: verdict.New(verdict.NotRun, verdict.ReasonOverloaded,
			"the store of idempotency claims is full")}, changeNone
	}
	p.entries[o.name] = entry{
		Name:      o.name,
		Hash:      o.hash,
		State:     stateClaimed,
		Attempt:   o.attempt,
		CreatedMs: o.createdMs,
	}
	return result{claimed: true}, changeMade
}

// existingResult returns what a repeat gets for a claim of another attempt.
func existingResult(e entry) result {
	switch {
	case e.State == stateAnswered && e.Answer != nil:
		return result{answer: e.Answer}
	case e.State == stateAnswered:
		return result{err: verdict.New(verdict.Ran, verdict.ReasonOutcomeUnknown,
			"the call ran; its answer was too large to keep")}
	case e.State == stateUnknown:
		return result{err: verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown,
			"an earlier call with this idempotency key may have run")}
	default:
		err := verdict.New(verdict.MayHaveRun, verdict.ReasonInProgress,
			"an earlier call with this idempotency key has not finished").WithRetryAfter(inProgressRetry)
		return result{err: err, pending: true}
	}
}

// finishOperation moves a claim of this attempt to its last state.
type finishOperation struct {
	name      string
	hash      string
	attempt   string
	createdMs int64
	state     state
	answer    *Answer
}

func (o *finishOperation) apply(p *partition) (result, change) {
	e, exists := p.entries[o.name]
	if exists && e.Attempt != o.attempt {
		return result{}, changeNone
	}
	if exists && e.State == o.state {
		return result{}, changeNone
	}
	// An absent entry is written too: the write changes the object's version,
	// so a delayed write of the claim itself fails.
	p.entries[o.name] = entry{
		Name:      o.name,
		Hash:      o.hash,
		State:     o.state,
		Attempt:   o.attempt,
		CreatedMs: o.createdMs,
		Answer:    o.answer,
	}
	return result{}, changeMade
}
