package route

import "time"

// Request is what a choice may depend on.
type Request struct {
	// Prefix is the hash of the first part of the prompt; 0 means none.
	Prefix uint64
}

// Policy chooses among targets. Targets is not empty, and all are fresh at now.
// Policies are safe for concurrent use.
type Policy interface {
	Choose(targets []*Target, request Request, now time.Time) *Target
}

// less returns the target with the lower load.
func less(a, b *Target) *Target {
	if b.Load() < a.Load() {
		return b
	}
	return a
}
