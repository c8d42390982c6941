package claim

import (
	"time"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// inProgressRetryAfter is the Retry-After that a repeat gets while the first call may
// still be running.
const inProgressRetryAfter = time.Second

// change says whether applying an operation changed the partition.
type change uint8

const (
	// changeNone means that the partition need not be written.
	changeNone change = iota
	// changeMade means that the partition was changed and has to be written.
	changeMade
)

// result is the outcome of one operation.
type result struct {
	// claimed is true if the operation's attempt owns the claim.
	claimed bool
	// response is the stored response of the first call.
	response *Response
	err      error
	// pending is true if another attempt owns the claim and may still complete it.
	pending bool
}

// operation is one change of a partition. It is idempotent, so it can be repeated after
// a conflict or a lost response.
type operation interface {
	apply(p *partition) (result, change)
}

// beginOperation makes a claim if the key has none or only a released one.
type beginOperation struct {
	name      string
	hash      string
	attempt   string
	createdMs int64
	// partitionFull refuses a new claim. It is set just before the operation is applied.
	partitionFull bool
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
		return repeatResult(e), changeNone
	}
	if o.partitionFull {
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

// repeatResult returns the result of a repeat whose key is claimed by another attempt.
func repeatResult(e entry) result {
	switch {
	case e.State == stateAnswered && e.Response != nil:
		return result{response: e.Response}
	case e.State == stateAnswered:
		return result{err: verdict.New(verdict.Ran, verdict.ReasonOutcomeUnknown,
			"the call ran; its answer was too large to keep")}
	case e.State == stateUnknown:
		return result{err: verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown,
			"an earlier call with this idempotency key may have run")}
	default:
		err := verdict.New(verdict.MayHaveRun, verdict.ReasonInProgress,
			"an earlier call with this idempotency key has not finished").WithRetryAfter(inProgressRetryAfter)
		return result{err: err, pending: true}
	}
}

// finishOperation moves a claim of this attempt to its final state.
type finishOperation struct {
	name      string
	hash      string
	attempt   string
	createdMs int64
	state     state
	response  *Response
}

func (o *finishOperation) apply(p *partition) (result, change) {
	e, exists := p.entries[o.name]
	if exists && e.Attempt != o.attempt {
		return result{}, changeNone
	}
	if exists && e.State == o.state {
		return result{}, changeNone
	}
	// An absent entry is written too: the write changes the object's version, so a
	// delayed write of the claim itself fails.
	p.entries[o.name] = entry{
		Name:      o.name,
		Hash:      o.hash,
		State:     o.state,
		Attempt:   o.attempt,
		CreatedMs: o.createdMs,
		Response:  o.response,
	}
	return result{}, changeMade
}
