package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is the part of a prompt that decides its affinity: enough to
	// tell system prompts apart, short enough that prompts with the same system
	// prompt agree.
	prefixBytes = 256
	// loadBound is how far above the average load a preferred target may be.
	loadBound = 1.25
	// loadSlack is a load in tokens that never counts as too much, so that
	// affinity also works while the system is almost idle.
	loadSlack = 2048
)

// Prefix returns the hash of the first part of a prompt.
func Prefix(prompt string) uint64 {
	return max(xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]), 1)
}

// Affinity prefers the target that a prompt's prefix hashes to, whose prefix
// cache is likely to hold it, unless that target is loaded above the bound. Then
// it takes the less loaded of two random targets.
type Affinity struct{ fallback TwoChoices }

// Choose implements Policy.
func (a *Affinity) Choose(targets []*Target, request Request, now time.Time) *Target {
	if request.Prefix == 0 || len(targets) == 1 {
		return a.fallback.Choose(targets, request, now)
	}
	var preferred *Target
	var highest uint64
	var sum float64
	for _, t := range targets {
		sum += t.Load()
		if score := mix(request.Prefix ^ t.seed); preferred == nil || score > highest {
			preferred, highest = t, score
		}
	}
	if preferred.Load() <= loadBound*sum/float64(len(targets))+loadSlack {
		return preferred
	}
	return a.fallback.Choose(targets, request, now)
}

// mix is the finalizer of SplitMix64; it spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
