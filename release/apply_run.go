package release

import (
	"context"
	"errors"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// applyRun is the state of one Apply over its attempts.
type applyRun struct {
	applier  *Applier
	note     *Note
	operator string
	// ambiguous is true if the outcome of an update is unknown. Until a newer version of
	// the object is read, that update may still take effect.
	ambiguous bool
	// ambiguousVersion is the version on which that update was conditional.
	ambiguousVersion object.Version
	// lastErr is the error of the last undecided attempt.
	lastErr error
}

// run repeats attempts until one is decided, the maximum number of attempts is reached
// or ctx ends.
func (r *applyRun) run(ctx context.Context) (Result, error) {
	for failed := range r.applier.cfg.MaxAttempts {
		if failed > 0 {
			r.applier.backOff(ctx, failed)
		}
		result, decided, err := r.attempt(ctx)
		if decided {
			return result, r.outcomeError(err)
		}
		r.lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return Result{}, r.outcomeError(r.lastErr)
}

// outcomeError replaces a refusal by a MayHaveRun error if the outcome of an update is
// unknown.
func (r *applyRun) outcomeError(err error) error {
	if err == nil || !r.ambiguous {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown,
		"the answer to the update was lost; repeat the same note").WithCause(err)
}

// attempt reads, merges and updates once. decided is false if another attempt is needed.
func (r *applyRun) attempt(ctx context.Context) (result Result, decided bool, err error) {
	a := r.applier
	if err := a.cfg.Gate.MayAccept(); err != nil {
		return Result{}, !r.ambiguous, asRefusal(err)
	}
	current, stored, err := a.readConfiguration(ctx)
	if err != nil {
		return Result{}, !r.ambiguous, err
	}
	if r.ambiguous && stored.Version > r.ambiguousVersion {
		// The ambiguous update was conditional on an older version. Either it wrote
		// this version or an earlier one, in which case the record of the note is found
		// below, or it can no longer take effect.
		r.ambiguous = false
	}
	record, err := Find(&current, r.note)
	if err != nil {
		return Result{}, true, err
	}
	if record != nil {
		r.ambiguous = false
		r.publish(current.Revision, stored.Value)
		return Result{Revision: record.Revision, Repeated: r.lastErr == nil}, true, nil
	}
	next, err := Apply(current, *r.note, Meta{Operator: r.operator, At: a.cfg.Now()})
	if err != nil {
		return Result{}, true, err
	}
	return r.update(ctx, next, stored.Version)
}

// update writes next, conditional on the version that was read. The results are those
// of attempt.
func (r *applyRun) update(ctx context.Context, next fleet.Configuration, expected object.Version) (Result, bool, error) {
	a := r.applier
	body, err := Encode(&next)
	if err != nil {
		return Result{}, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.cfg.UpdateTimeout)
	defer cancel()
	if err := a.cfg.Gate.Prepare(ctx, next.Revision); err != nil {
		return Result{}, !r.ambiguous, asRefusal(err)
	}
	_, err = a.cfg.Store.Update(ctx, ConfigurationKey, expected, body)
	switch {
	case err == nil:
		r.ambiguous = false
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
		return Result{}, !r.ambiguous, verdict.New(verdict.NotRun, verdict.ReasonPlatform,
			"the platform refused the update").WithCause(err)
	default:
		r.ambiguous, r.ambiguousVersion = true, max(r.ambiguousVersion, expected)
		return Result{}, false, err
	}
}

// publish passes the configuration to the Publisher. The version of the document is the
// revision, not the platform's version of the object.
func (r *applyRun) publish(revision fleet.Revision, body []byte) {
	if p := r.applier.cfg.Publisher; p != nil {
		p.Publish(ConfigurationKey.String(), uint64(revision), body)
	}
}

// asRefusal returns an error of the gate with the verdict NotRun unless it already has a
// verdict.
func asRefusal(err error) error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed,
		"this node may not accept notes now").WithCause(err)
}
