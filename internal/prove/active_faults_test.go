package prove

import (
	"slices"
	"sync"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// activeFaults holds the faults that are active at the same time on one target. A
// stand-in replaces all its faults with each request, so overlapping faults are
// merged; otherwise the second would end the first.
type activeFaults[T any] struct {
	mu     sync.Mutex
	active []*T
}

// add adds a fault and posts the merged active faults.
func (a *activeFaults[T]) add(f *T, merge func(a, b T) T, post func(T)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active = append(a.active, f)
	a.postMerged(merge, post)
}

// remove removes a fault and posts the merged remaining faults.
func (a *activeFaults[T]) remove(f *T, merge func(a, b T) T, post func(T)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active = slices.DeleteFunc(a.active, func(g *T) bool { return f == g })
	a.postMerged(merge, post)
}

// postMerged merges the active faults and posts the result. The caller holds mu.
func (a *activeFaults[T]) postMerged(merge func(a, b T) T, post func(T)) {
	var all T
	for _, f := range a.active {
		all = merge(all, *f)
	}
	post(all)
}

// mergePlatformFaults returns the combination of two sets of platform faults.
func mergePlatformFaults(a, b standin.PlatformFaults) standin.PlatformFaults {
	return standin.PlatformFaults{
		Down: a.Down || b.Down, Hang: a.Hang || b.Hang, DelayMs: max(a.DelayMs, b.DelayMs),
		LoseWrites: a.LoseWrites + b.LoseWrites, DropWrites: a.DropWrites + b.DropWrites,
		LoseProbability: max(a.LoseProbability, b.LoseProbability), Seed: max(a.Seed, b.Seed),
	}
}

// mergeBackendFaults returns the combination of two sets of a backend server's
// faults.
func mergeBackendFaults(a, b standin.BackendFaults) standin.BackendFaults {
	return standin.BackendFaults{
		FreezeMs: max(a.FreezeMs, b.FreezeMs), FailSteps: a.FailSteps || b.FailSteps, DelayMs: max(a.DelayMs, b.DelayMs),
		Cross: a.Cross + b.Cross, CrossBody: a.CrossBody + b.CrossBody, Double: a.Double + b.Double,
		DoubleEvents: a.DoubleEvents + b.DoubleEvents, Truncate: a.Truncate + b.Truncate, Lose: a.Lose + b.Lose,
	}
}
