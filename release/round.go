package release

import (
	"context"
	"errors"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// round is the state of one Apply over its attempts.
type round struct {
	applier  *Applier
	note     *Note
	operator string
	// uncertain tells that an update's answer was lost. Until a newer version
	// of the object is read, that update may still take effect.
	uncertain bool
	// pending is the version that the uncertain update was conditional on.
	pending object.Version
	// cause is the error of the last attempt that did not decide.
	cause error
}

// run repeats attempts until one decides or the bound is reached.
func (r *round) run(ctx context.Context) (Result, error) {
	for failed := range r.applier.cfg.Attempts {
		if failed > 0 {
			r.applier.pause(ctx, failed)
		}
		result, decided, err := r.attempt(ctx)
		if decided {
			return result, r.settle(err)
		}
		r.cause = err
		if ctx.Err() != nil {
			break
		}
	}
	return Result{}, r.settle(r.cause)
}

// settle turns a refusal into MayHaveRun while an update is uncertain.
func (r *round) settle(err error) error {
	if err == nil || !r.uncertain {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown,
		"the answer to the update was lost; repeat the same note").WithCause(err)
}

// attempt reads, merges and updates once. decided=false asks for another
// attempt.
func (r *round) attempt(ctx context.Context) (result Result, decided bool, err error) {
	a := r.applier
	if err := a.cfg.Gate.MayAccept(); err != nil {
		return Result{}, !r.uncertain, refusal(err)
	}
	current, stored, err := a.read(ctx)
	if err != nil {
		return Result{}, !r.uncertain, err
	}
	if r.uncertain && stored.Version > r.pending {
		// The uncertain update was conditional on an older version. Either it
		// made this or an earlier version, so the note is found below, or it
		// can no longer take effect.
		r.uncertain = false
	}
	record, err := Find(&current, r.note)
	if err != nil {
		return Result{}, true, err
	}
	if record != nil {
		r.uncertain = false
		r.publish(current.Revision, stored.Value)
		return Result{Revision: record.Revision, Repeated: r.cause == nil}, true, nil
	}
	next, err := Apply(current, *r.note, Meta{Operator: r.operator, At: a.cfg.Now()})
	if err != nil {
		return Result{}, true, err
	}
	return r.update(ctx, next, stored.Version)
}

// update writes next on the version that was read.
func (r *round) update(ctx context.Context, next fleet.Configuration, expected object.Version) (Result, bool, error) {
	a := r.applier
	body, err := Encode(&next)
	if err != nil {
		return Result{}, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.UpdateTimeout)
	defer cancel()
	if err := a.cfg.Gate.Prepare(ctx, next.Revision); err != nil {
		return Result{}, !r.uncertain, refusal(err)
	}
	_, err = a.cfg.Store.Update(ctx, Key, expected, body)
	switch {
	case err == nil:
		r.uncertain = false
		r.publish(next.Revision, body)
		return Result{Revision: next.Revision}, true, nil
	case errors.Is(err, object.ErrConflict):
		a.conflicts.Inc(1)
		return Result{}, false, verdict.New(verdict.NotRun, verdict.ReasonConflict,
			"other notes were accepted meanwhile").WithCause(err)
	case errors.Is(err, object.ErrTooLarge):
		return Result{}, true, verdict.New(verdict.NotRun, verdict.ReasonTooLarge,
			"the platform refused a configuration of %d bytes", len(body)).WithCause(err)
	case errors.Is(err, object.ErrUnavailable):
		return Result{}, !r.uncertain, verdict.New(verdict.NotRun, verdict.ReasonPlatform,
			"the platform refused the update").WithCause(err)
	default:
		r.uncertain, r.pending = true, max(r.pending, expected)
		return Result{}, false, err
	}
}

// publish hands the configuration to the replica, whose version of the document
// is the revision, not the platform's version of the object.
func (r *round) publish(revision fleet.Revision, body []byte) {
	if p := r.applier.cfg.Publisher; p != nil {
		p.Publish(Key.String(), uint64(revision), body)
	}
}

// refusal gives an error of the gate the verdict NotRun unless it has its own.
func refusal(err error) error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed,
		"this node may not accept notes now").WithCause(err)
}
