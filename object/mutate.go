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
	mutateBackoffMin = 2 * time.Millisecond
	mutateBackoffMax = 200 * time.Millisecond
)

// Mutate reads the object, passes it to fn and writes fn's result, and repeats
// this on ErrConflict until ctx ends. An object that does not exist is passed
// with version 0. A nil result of fn with a nil error means that nothing needs
// to be written.
//
// After ErrAmbiguous, applied is asked about each value read from then on; true
// means that the write took effect. The mark that applied looks for must
// survive later writes by others. Mutate returns the newest object that is
// known to hold the change. Its error is ErrAmbiguous as long as an earlier
// write of this call may still take effect.
func Mutate(ctx context.Context, store Store, key Key,
	fn func(current Object) ([]byte, error), applied func(value []byte) bool) (Object, error) {
	m := mutation{store: store, key: key}
	for try := 0; ; try++ {
		current, err := m.read(ctx)
		if err != nil {
			return Object{}, err
		}
		if m.uncertain && applied(current.Value) {
			return current, nil
		}
		// A later version excludes that the uncertain write takes effect.
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
		if cause := pause(ctx, try); cause != nil {
			return Object{}, m.outcome(errors.Join(err, cause))
		}
	}
}

// mutation is the state of one Mutate call.
type mutation struct {
	store Store
	key   Key
	// uncertain is set after the first ambiguous write.
	uncertain bool
	// pending means that an ambiguous write on version expected may have taken
	// effect or may still do so.
	pending  bool
	expected Version
}

// read gets the object. With an uncertain write it retries while the platform
// is unavailable, because only a read can tell what happened.
func (m *mutation) read(ctx context.Context) (Object, error) {
	for try := 0; ; try++ {
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
		if cause := pause(ctx, try); cause != nil {
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
	// The cause is kept as text only: its own class, for example
	// ErrUnavailable, would wrongly state that nothing took effect.
	return fmt.Errorf("%w: %v", ambiguous, err)
}

// pause waits with exponential backoff and full jitter.
func pause(ctx context.Context, try int) error {
	limit := min(mutateBackoffMin<<min(try, 10), mutateBackoffMax)
	if !wait.For(ctx, rand.N(limit)+1) {
		return ctx.Err()
	}
	return nil
}
