package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section is one snapshot of the blackboard. The zero value holds nil and is
// ready for use. A published value must not be modified any more.
type Section[T any] struct {
	current atomic.Pointer[T]

	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the newest snapshot, or nil before the first Publish. It takes
// no lock.
func (s *Section[T]) Load() *T { return s.current.Load() }

// Publish replaces the snapshot and wakes everyone who waits on Changed. Only
// the section's owner calls it.
func (s *Section[T]) Publish(value *T) {
	s.current.Store(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed by the next Publish. To miss no
// change, take the channel before calling Load.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
