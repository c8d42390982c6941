package route

import (
	"math/rand/v2"
	"time"
)

// Random takes any target.
type Random struct {
	// IntN returns a random number below n; nil means rand.IntN.
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
