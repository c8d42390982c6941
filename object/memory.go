package object

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// Faults are the failures that Memory simulates. The zero value means none.
type Faults struct {
	// Unavailable makes every call fail with ErrUnavailable before it takes effect.
	Unavailable bool
	// Delay is added before each call takes effect.
	Delay time.Duration
	// LoseWrites is the number of upcoming writes whose response is lost: they take
	// effect, but the call returns ErrAmbiguous.
	LoseWrites int
	// DropWrites is the number of upcoming writes whose request is lost: they do not take
	// effect, and the call returns ErrAmbiguous. DropWrites are used up before
	// LoseWrites.
	DropWrites int
	// LoseProbability is the probability, from 0 to 1, that the response of a write is
	// lost. Seed seeds the random choice, so that it is reproducible.
	LoseProbability float64
	Seed            uint64
}

// Memory is an in-memory Store, for tests and for a stand-in of the platform. All objects
// share one version counter. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	counter Version
	kinds   map[string]*kindState
	faults  Faults
	onWrite func(Object)
	random  *rand.Rand
	// faultsChanged is closed and replaced when the faults change, so that pending
	// watches check them.
	faultsChanged chan struct{}
}

// kindState holds the objects of a kind.
type kindState struct {
	// cursor is the version of the last write of the kind, deletions included.
	cursor  Version
	objects map[string]Object
	// changed is closed and replaced after every write of the kind.
	changed chan struct{}
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store without faults.
func NewMemory() *Memory {
	return &Memory{
		kinds:         make(map[string]*kindState),
		random:        rand.New(rand.NewPCG(0, 0)),
		faultsChanged: make(chan struct{}),
	}
}

// SetFaults replaces the simulated faults and restarts the random choice.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.random = rand.New(rand.NewPCG(f.Seed, 0))
	close(m.faultsChanged)
	m.faultsChanged = make(chan struct{})
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key Key) (Object, error) {
	if err := m.applyFaults(ctx); err != nil {
		return Object{}, &OpError{"get", key, err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.kind(key.Kind).objects[key.Name]
	if !ok {
		return Object{}, &OpError{"get", key, ErrNotFound}
	}
	return copyOf(o), nil
}

// GetIfNewer implements Store.
func (m *Memory) GetIfNewer(ctx context.Context, key Key, known Version) (Object, bool, error) {
	return m.Watch(ctx, key, known, 0)
}

// List implements Store.
func (m *Memory) List(ctx context.Context, kind string) ([]Object, error) {
	if err := m.applyFaults(ctx); err != nil {
		return nil, &OpError{"list", Key{Kind: kind}, err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kind(kind).listing().Objects, nil
}

// Update implements Store.
func (m *Memory) Update(ctx context.Context, key Key, expected Version, value []byte) (Version, error) {
	if len(value) > MaxValueSize {
		return 0, &OpError{"update", key, ErrTooLarge}
	}
	next := Object{Key: key, Value: append([]byte{}, value...)}
	version, err := m.write(ctx, key, expected, &next)
	if err != nil {
		return 0, &OpError{"update", key, err}
	}
	return version, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key Key, expected Version) error {
	if expected == 0 {
		return &OpError{"delete", key, ErrNotFound}
	}
	if _, err := m.write(ctx, key, expected, nil); err != nil {
		return &OpError{"delete", key, err}
	}
	return nil
}

// write replaces the object by next, or deletes it if next is nil.
func (m *Memory) write(ctx context.Context, key Key, expected Version, next *Object) (Version, error) {
	if err := m.applyFaults(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.DropWrites > 0 {
		m.faults.DropWrites--
		return 0, ErrAmbiguous
	}
	kind := m.kind(key.Kind)
	responseLost := m.losesResponse()
	if kind.objects[key.Name].Version != expected {
		if responseLost {
			return 0, ErrAmbiguous
		}
		return 0, ErrConflict
	}
	m.counter++
	kind.cursor = m.counter
	if next == nil {
		delete(kind.objects, key.Name)
	} else {
		next.Version = m.counter
		kind.objects[key.Name] = *next
	}
	close(kind.changed)
	kind.changed = make(chan struct{})
	if m.onWrite != nil && next != nil {
		m.onWrite(copyOf(*next))
	}
	if responseLost {
		return 0, ErrAmbiguous
	}
	return m.counter, nil
}

// OnWrite makes the store call f after every write that takes effect, except deletions,
// in the order of the versions and even if the writer's response is lost. It must be
// called before the store is used.
func (m *Memory) OnWrite(f func(Object)) { m.onWrite = f }

// losesResponse reports whether the response of the current write is to be lost. m.mu is
// held.
func (m *Memory) losesResponse() bool {
	if m.faults.LoseWrites > 0 {
		m.faults.LoseWrites--
		return true
	}
	return m.faults.LoseProbability > 0 && m.random.Float64() < m.faults.LoseProbability
}

// Watch implements Store. A deleted object is returned with version 0.
func (m *Memory) Watch(ctx context.Context, key Key, known Version, wait time.Duration) (Object, bool, error) {
	var found Object
	changed, err := m.waitUntil(ctx, key.Kind, wait, func(k *kindState) bool {
		found = copyOf(k.objects[key.Name])
		found.Key = key
		return found.Version != known
	})
	if err != nil {
		return Object{}, false, &OpError{"watch", key, err}
	}
	if !changed {
		return Object{}, false, nil
	}
	return found, true, nil
}

// WatchKind implements Store.
func (m *Memory) WatchKind(ctx context.Context, kind string, cursor Version, wait time.Duration) (Listing, error) {
	listing := Listing{Cursor: cursor}
	_, err := m.waitUntil(ctx, kind, wait, func(k *kindState) bool {
		if k.cursor == cursor {
			return false
		}
		listing = k.listing()
		return true
	})
	if err != nil {
		return Listing{}, &OpError{"watch", Key{Kind: kind}, err}
	}
	return listing, nil
}

// waitUntil calls done with m.mu held, immediately and after every write of the kind,
// until it returns true or wait has passed. It reports whether done returned true.
func (m *Memory) waitUntil(ctx context.Context, kind string, wait time.Duration, done func(*kindState) bool) (bool, error) {
	if err := m.applyFaults(ctx); err != nil {
		return false, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		k := m.kind(kind)
		ok, unavailable, changed, faultsChanged := done(k), m.faults.Unavailable, k.changed, m.faultsChanged
		m.mu.Unlock()
		if unavailable {
			return false, ErrUnavailable
		}
		if ok || wait <= 0 {
			return ok, nil
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.C:
			return false, nil
		case <-ctx.Done():
			return false, unavailableError(ctx.Err())
		}
	}
}

// applyFaults simulates the faults that occur before a call takes effect.
func (m *Memory) applyFaults(ctx context.Context) error {
	m.mu.Lock()
	f := m.faults
	m.mu.Unlock()
	if f.Delay > 0 {
		wait.For(ctx, f.Delay)
	}
	if err := ctx.Err(); err != nil {
		return unavailableError(err)
	}
	if f.Unavailable {
		return ErrUnavailable
	}
	return nil
}

// kind returns the state of a kind, which it creates if needed. m.mu is held.
func (m *Memory) kind(name string) *kindState {
	k, ok := m.kinds[name]
	if !ok {
		k = &kindState{objects: make(map[string]Object), changed: make(chan struct{})}
		m.kinds[name] = k
	}
	return k
}

// listing returns copies of the kind's objects, sorted by name.
func (k *kindState) listing() Listing {
	l := Listing{Cursor: k.cursor, Changed: true, Objects: make([]Object, 0, len(k.objects))}
	for _, o := range k.objects {
		l.Objects = append(l.Objects, copyOf(o))
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key.Name < l.Objects[j].Key.Name })
	return l
}

// copyOf returns a copy of o that shares no memory with it.
func copyOf(o Object) Object {
	o.Value = append([]byte(nil), o.Value...)
	return o
}
