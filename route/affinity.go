package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPrefixBytes is the length in bytes of the shortest prefix that is
	// hashed. A shorter prompt is hashed whole.
	minPrefixBytes = 256
	// prefixGrowth is the ratio between successive prefix lengths. A prompt is
	// hashed up to the longest of these lengths that it reaches. All later turns
	// of a conversation have the same hash until the prompt is prefixGrowth
	// times as long, and conversations with the same system prompt get different
	// hashes once the hashed prefix is longer than the system prompt.
	prefixGrowth = 4
	// maxPrefixBytes limits the work of hashing.
	maxPrefixBytes = minPrefixBytes * prefixGrowth * prefixGrowth * prefixGrowth
	// loadBound is the highest ratio of a preferred target's load to the average
	// load.
	loadBound = 1.25
	// loadSlack is a load in tokens that is added to the bound, so that affinity
	// also works while the system is almost idle.
	loadSlack = 2048
)

// Prefix returns the hash of the prompt's prefix on which affinity is based.
func Prefix(prompt string) uint64 {
	length := min(len(prompt), minPrefixBytes)
	for length*prefixGrowth <= min(len(prompt), maxPrefixBytes) && length >= minPrefixBytes {
		length *= prefixGrowth
	}
	return max(xxhash.Sum64String(prompt[:length]), 1)
}

// Affinity chooses by rendezvous hashing with bounded loads. It prefers the
// target with the highest score for a prompt's prefix, whose prefix cache is
// likely to contain it, then the target with the second highest score, unless
// their loads exceed the bound. Otherwise it takes the less loaded of two random
// targets. It doesn't use cache events, so late or missing events don't matter.
type Affinity struct {
	// Fallback chooses if the loads of both preferred targets exceed the bound.
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
		// Slowness is not part of the average: a node that sends few requests to
		// each target has few samples of it, and one outlier would raise the
		// bound.
		sum += t.ReportedLoad + t.SentSinceReport()
		score := mix(request.Prefix ^ t.hash)
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

// mix is the finalizer of SplitMix64; it distributes the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
