package object

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueSize is the largest size of a value that the platform stores, in bytes.
const MaxValueSize = 1_000_000

// Key identifies an object.
type Key struct {
	Kind string
	Name string
}

// String returns "kind/name".
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Object is one version of a stored value.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// Errors of a Store. Test with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object does not have the expected version and that the
	// write did not take effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the platform refused the call or could not be reached, and
	// that a write did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect.
	ErrAmbiguous = errors.New("write outcome unknown")
	// ErrTooLarge means that the value exceeds MaxValueSize.
	ErrTooLarge = errors.New("value too large")
)

// Store is the interface of the Object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the object in its newest version, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key Key) (Object, error)
	// GetIfNewer returns the object if its version differs from known, and ok=false if it
	// does not. An unchanged object is not transferred, so the call is cheap.
	GetIfNewer(ctx context.Context, key Key, known Version) (o Object, ok bool, err error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) ([]Object, error)
	// Update writes value if the object still has the version expected. If expected is 0,
	// it creates the object. It returns the new version, or ErrConflict, ErrTooLarge,
	// ErrUnavailable or ErrAmbiguous.
	Update(ctx context.Context, key Key, expected Version, value []byte) (Version, error)
	// Delete removes the object if it still has the version expected.
	Delete(ctx context.Context, key Key, expected Version) error
	// Watch waits until the object's version differs from known or wait has passed;
	// ok=false means that nothing changed.
	Watch(ctx context.Context, key Key, known Version, wait time.Duration) (o Object, ok bool, err error)
	// WatchKind waits until an object of the kind is written or deleted after cursor, or
	// wait has passed. After a change it returns all objects of the kind and a new cursor;
	// otherwise Changed is false and the cursor is the given one.
	WatchKind(ctx context.Context, kind string, cursor Version, wait time.Duration) (Listing, error)
}

// Listing holds all objects of a kind.
type Listing struct {
	// Cursor is the position after which WatchKind reports the next change.
	Cursor Version
	// Changed is false if the wait passed without a change; Objects is then empty.
	Changed bool
	Objects []Object
}

// OpError is the error of a failed operation on an object, or on a kind if the key has no
// name.
type OpError struct {
	Op  string
	Key Key
	Err error
}

// Error implements error.
func (e *OpError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *OpError) Unwrap() error { return e.Err }
