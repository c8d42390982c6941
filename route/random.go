package route

import (
	"math/rand/v2"
	"time"
)

// Random takes a random target.
type Random struct {
	// IntN returns a random number in [0, n); nil means rand.IntN.
	IntN func(n int) int
}

// Choose implements Policy.
func (r Random) Choose(targets []*Target, _ Request, _ time.Time) *Target {
	intN := r.IntN
	if intN == nil {
		intN = rand.IntN
	}
	return targets[intN(len(targets))]
}
