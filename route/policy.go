package route

import "time"

// Request holds the properties of a request on which a choice may depend.
type Request struct {
	// Prefix is the hash of the first part of the prompt; 0 means none.
	Prefix uint64
	// Version, if not empty, is the only model version that may serve the
	// request. The caller of Choose leaves out targets with other versions.
	Version string
}

// Policy chooses one of the targets. The slice is not empty, and all targets are
// fresh at now. Policies are safe for concurrent use.
type Policy interface {
	Choose(targets []*Target, request Request, now time.Time) *Target
}

// lessLoaded returns the target with the lower load, or a if the loads are equal.
func lessLoaded(a, b *Target) *Target {
	if b.Load() < a.Load() {
		return b
	}
	return a
}
