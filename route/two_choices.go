package route

import (
	"math/rand/v2"
	"time"
)

// TwoChoices takes the less loaded of two random targets. Unlike the least
// loaded of all, it doesn't send every node's requests to one target while load
// reports lag.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(targets []*Target, _ Request, _ time.Time) *Target {
	if len(targets) == 1 {
		return targets[0]
	}
	i := rand.IntN(len(targets))
	j := rand.IntN(len(targets) - 1)
	if j >= i {
		j++
	}
	return less(targets[i], targets[j])
}
