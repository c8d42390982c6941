package route

import "time"

// Request is what a choice may depend on.
type Request struct {
	// Prefix is the hash of the first part of the prompt; 0 means none.
	Prefix uint64
	// Version, when not empty, is the only model version that may answer. The
	// caller of Choose leaves out the others.
	Version string
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
