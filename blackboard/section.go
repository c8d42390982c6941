package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section holds the newest snapshot of one part of the blackboard. The zero value
// holds nil and is ready to use. A published value must not be modified.
type Section[T any] struct {
	current atomic.Pointer[T]

	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the newest snapshot, or nil before the first Publish. It doesn't
// lock.
func (s *Section[T]) Load() *T { return s.current.Load() }

// Publish replaces the snapshot and closes the channel returned by Changed. Only
// the section's owner may call it.
func (s *Section[T]) Publish(value *T) {
	s.current.Store(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed by the next Publish. To avoid missing
// a change, call Changed before Load.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
