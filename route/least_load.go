package route

import "time"

// LeastLoad takes the target with the least reported load.
type LeastLoad struct{}

// Choose implements Policy.
func (LeastLoad) Choose(targets []*Target, _ Request, _ time.Time) *Target {
	best := targets[0]
	for _, t := range targets[1:] {
		if t.ReportedLoad < best.ReportedLoad {
			best = t
		}
	}
	return best
}
