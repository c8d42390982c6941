package route

import (
	"math/rand/v2"
	"time"
)

// Random takes any target.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(targets []*Target, _ Request, _ time.Time) *Target {
	return targets[rand.IntN(len(targets))]
}
