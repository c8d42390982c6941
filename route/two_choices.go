package route

import (
	"math/rand/v2"
	"time"
)

// TwoChoices takes the less loaded of two random targets. Unlike the least
// loaded of all, it doesn't send every node's requests to one target while load
// reports lag.
type TwoChoices struct {
	// IntN returns a random number in [0, n); nil means rand.IntN.
	IntN func(n int) int
}

// Choose implements Policy.
func (c TwoChoices) Choose(targets []*Target, _ Request, _ time.Time) *Target {
	if len(targets) == 1 {
		return targets[0]
	}
	intN := c.IntN
	if intN == nil {
		intN = rand.IntN
	}
	i := intN(len(targets))
	j := intN(len(targets) - 1)
	if j >= i {
		j++
	}
	return lessLoaded(targets[i], targets[j])
}
