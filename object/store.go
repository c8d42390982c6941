package object

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueSize is the size limit of a value at the platform, in bytes.
const MaxValueSize = 1_000_000

// Key names an object.
type Key struct {
	Kind string
	Name string
}

// String returns "kind/name".
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Version is the platform's version of an object. It grows with every write.
// Version 0 stands for an object that does not exist.
type Version uint64

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
	// ErrConflict means that the object has another version than expected and
	// that the write did not take effect.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the platform refused or could not be reached
	// and that a write did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect.
	ErrAmbiguous = errors.New("write outcome unknown")
	// ErrTooLarge means that the value exceeds MaxValueSize.
	ErrTooLarge = errors.New("value too large")
)

// Store is the Object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the newest version, or ErrNotFound, or ErrUnavailable.
	Get(ctx context.Context, key Key) (Object, error)
	// GetIfNewer returns the object if its version differs from known, and
	// ok=false if it is unchanged. It costs one small call.
	GetIfNewer(ctx context.Context, key Key, known Version) (o Object, ok bool, err error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) ([]Object, error)
	// Update writes value if the object's version is still expected; expected
	// 0 creates the object. It returns the new version, or ErrConflict,
	// ErrTooLarge, ErrUnavailable or ErrAmbiguous.
	Update(ctx context.Context, key Key, expected Version, value []byte) (Version, error)
	// Delete removes the object if its version is still expected.
	Delete(ctx context.Context, key Key, expected Version) error
	// Watch waits until the object's version differs from known or wait has
	// passed; ok=false means that nothing changed.
	Watch(ctx context.Context, key Key, known Version, wait time.Duration) (o Object, ok bool, err error)
	// WatchKind waits until an object of the kind is written or deleted after
	// cursor and returns the whole kind with a new cursor.
	WatchKind(ctx context.Context, kind string, cursor Version, wait time.Duration) (Listing, error)
}

// Listing is the content of a kind at a cursor.
type Listing struct {
	Cursor  Version
	Changed bool
	Objects []Object
}

// OpError describes a failed call.
type OpError struct {
	Op  string
	Key Key
	Err error
}

// Error implements error.
func (e *OpError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *OpError) Unwrap() error { return e.Err }
