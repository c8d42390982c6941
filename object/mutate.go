package object

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

const (
	// minMutateBackoff is the upper limit of the wait after the first attempt of Mutate. It
	// doubles with each attempt.
	minMutateBackoff = 2 * time.Millisecond
	// maxMutateBackoff is the largest upper limit of the wait.
	maxMutateBackoff = 200 * time.Millisecond
)

// Mutate reads the object, passes it to fn and writes fn's result. It repeats this on
// ErrConflict and ErrAmbiguous until ctx ends. If the object does not exist, fn gets one
// with version 0. If fn returns nil without an error, nothing is written.
//
// After ErrAmbiguous, each value that is read is passed to applied, which reports whether
// it contains the change, that is, whether the write took effect. The mark by which
// applied recognises the change must survive later writes by others. Mutate returns the
// newest object that is known to contain the change. Its error is ErrAmbiguous as long as
// an earlier write of this call may still take effect.
func Mutate(ctx context.Context, store Store, key Key,
	fn func(current Object) ([]byte, error), applied func(value []byte) bool) (Object, error) {
	m := mutation{store: store, key: key}
	for attempt := 0; ; attempt++ {
		current, err := m.read(ctx)
		if err != nil {
			return Object{}, err
		}
		if m.uncertain && applied(current.Value) {
			return current, nil
		}
		// If the object has another version now, the ambiguous write can't take effect any
		// more.
		m.pending = m.pending && current.Version == m.expected
		value, err := fn(current)
		if err != nil {
			return Object{}, m.outcome(err)
		}
		if value == nil {
			return current, m.outcome(nil)
		}
		version, err := store.Update(ctx, key, current.Version, value)
		switch {
		case err == nil:
			return Object{Key: key, Version: version, Value: value}, nil
		case errors.Is(err, ErrAmbiguous):
			m.uncertain, m.pending, m.expected = true, true, current.Version
		case !errors.Is(err, ErrConflict):
			return Object{}, m.outcome(err)
		}
		if cause := backOff(ctx, attempt); cause != nil {
			return Object{}, m.outcome(errors.Join(err, cause))
		}
	}
}

// mutation is the state of one Mutate call.
type mutation struct {
	store Store
	key   Key
	// uncertain is true after the first ambiguous write.
	uncertain bool
	// pending is true if an ambiguous write that expects version expected may have taken
	// effect or may still do so.
	pending  bool
	expected Version
}

// read reads the object. If an ambiguous write is pending, it retries while the platform
// is unavailable, because only a read can show what happened.
func (m *mutation) read(ctx context.Context) (Object, error) {
	for attempt := 0; ; attempt++ {
		o, err := m.store.Get(ctx, m.key)
		if err == nil {
			return o, nil
		}
		if errors.Is(err, ErrNotFound) {
			return Object{Key: m.key}, nil
		}
		if !m.pending {
			return Object{}, err
		}
		if cause := backOff(ctx, attempt); cause != nil {
			return Object{}, m.outcome(err)
		}
	}
}

// outcome adds ErrAmbiguous to err while a write is pending.
func (m *mutation) outcome(err error) error {
	if !m.pending || errors.Is(err, ErrAmbiguous) {
		return err
	}
	ambiguous := &OpError{"mutate", m.key, ErrAmbiguous}
	if err == nil {
		return ambiguous
	}
	// The cause is included as text but not wrapped: an error such as ErrUnavailable would
	// wrongly state that nothing took effect.
	return fmt.Errorf("%w: %v", ambiguous, err)
}

// backOff waits with exponential backoff and full jitter. It returns ctx's error if ctx
// ends first.
func backOff(ctx context.Context, attempt int) error {
	limit := min(minMutateBackoff<<min(attempt, 10), maxMutateBackoff)
	if !wait.For(ctx, rand.N(limit)+1) {
		return ctx.Err()
	}
	return nil
}
