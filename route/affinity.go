package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is the shortest part of a prompt that decides its affinity.
	prefixBytes = 256
	// prefixStep is the ratio between the lengths that decide affinity. A prompt
	// counts up to the longest such length that it reaches. All later turns of a
	// conversation agree until it is prefixStep times as long, and conversations
	// with the same system prompt differ as soon as they are longer than it.
	prefixStep = 4
	// maxPrefixBytes bounds the work of hashing.
	maxPrefixBytes = prefixBytes * prefixStep * prefixStep * prefixStep
	// loadBound is how far above the average load a preferred target may be.
	loadBound = 1.25
	// loadSlack is a load in tokens that never counts as too much, so that
	// affinity also works while the system is almost idle.
	loadSlack = 2048
)

// Prefix returns the hash of the part of a prompt that decides its affinity.
func Prefix(prompt string) uint64 {
	length := min(len(prompt), prefixBytes)
	for length*prefixStep <= min(len(prompt), maxPrefixBytes) && length >= prefixBytes {
		length *= prefixStep
	}
	return max(xxhash.Sum64String(prompt[:length]), 1)
}

// Affinity prefers the target that a prompt's prefix hashes to, whose prefix
// cache is likely to hold it, then the second such target, unless they are
// loaded above the bound. Otherwise it takes the less loaded of two random
// targets. It needs no cache events, so late and missing ones do no harm.
type Affinity struct {
	// Fallback chooses when the preferred targets are loaded too much.
	Fallback TwoChoices
}

// Choose implements Policy.
func (a *Affinity) Choose(targets []*Target, request Request, now time.Time) *Target {
	if request.Prefix == 0 || len(targets) == 1 {
		return a.Fallback.Choose(targets, request, now)
	}
	var first, second *Target
	var highest, next uint64
	var sum float64
	for _, t := range targets {
		// Slowness stays out of the average: a node that sends little to each
		// target has few samples of it, and one outlier would lift the bound.
		sum += t.Reported + t.Own()
		score := mix(request.Prefix ^ t.seed)
		switch {
		case first == nil || score > highest:
			first, highest, second, next = t, score, first, highest
		case second == nil || score > next:
			second, next = t, score
		}
	}
	bound := loadBound*sum/float64(len(targets)) + loadSlack
	for _, t := range []*Target{first, second} {
		if t.Load() <= bound {
			return t
		}
	}
	return a.Fallback.Choose(targets, request, now)
}

// mix is the finalizer of SplitMix64; it spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
