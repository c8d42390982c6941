package prove

import (
	"slices"
	"sync"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// overlay holds the faults of one target that last at the same time. A stand-in
// replaces all its faults at once, so the faults of a pair are joined; otherwise
// the second would end the first.
type overlay[T any] struct {
	mu      sync.Mutex
	lasting []*T
}

// begin adds a fault and posts all that last.
func (o *overlay[T]) begin(f *T, join func(a, b T) T, post func(T)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lasting = append(o.lasting, f)
	o.post(join, post)
}

// end removes a fault and posts those that still last.
func (o *overlay[T]) end(f *T, join func(a, b T) T, post func(T)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lasting = slices.DeleteFunc(o.lasting, func(g *T) bool { return f == g })
	o.post(join, post)
}

func (o *overlay[T]) post(join func(a, b T) T, post func(T)) {
	var all T
	for _, f := range o.lasting {
		all = join(all, *f)
	}
	post(all)
}

// joinPlatform joins two faults of the platform.
func joinPlatform(a, b standin.PlatformFaults) standin.PlatformFaults {
	return standin.PlatformFaults{
		Down: a.Down || b.Down, Hang: a.Hang || b.Hang, DelayMs: max(a.DelayMs, b.DelayMs),
		LoseWrites: a.LoseWrites + b.LoseWrites, DropWrites: a.DropWrites + b.DropWrites,
		LoseProbability: max(a.LoseProbability, b.LoseProbability), Seed: max(a.Seed, b.Seed),
	}
}

// joinBackend joins two faults of a back end.
func joinBackend(a, b standin.BackendFaults) standin.BackendFaults {
	return standin.BackendFaults{
		FreezeMs: max(a.FreezeMs, b.FreezeMs), FailSteps: a.FailSteps || b.FailSteps, DelayMs: max(a.DelayMs, b.DelayMs),
		Cross: a.Cross + b.Cross, CrossBody: a.CrossBody + b.CrossBody, Double: a.Double + b.Double,
		DoubleEvents: a.DoubleEvents + b.DoubleEvents, Truncate: a.Truncate + b.Truncate, Lose: a.Lose + b.Lose,
	}
}
