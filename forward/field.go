package forward

import (
	"math/rand/v2"
	"slices"
	"time"
)

// field is what the choice reads of all targets of a pool at one moment.
type field struct {
	targets    []*Target
	candidates []Candidate
}

// field gathers the targets of a pool; the caller holds the lock.
func (d *Dispatcher) field(p Pool) *field {
	f := &field{targets: d.tables.Load().Targets(p)}
	now := time.Now()
	f.candidates = make([]Candidate, len(f.targets))
	for i, t := range f.targets {
		f.candidates[i] = Candidate{
			Requests:     float64(t.Load.Running() + d.peers.Running(t.Instance.ID)),
			PromptTokens: float64(t.Load.prompts.Load()),
			Slots:        t.Slots,
			Ahead:        d.peers.Ahead(p.Model, t.Instance.ID),
			Near:         t.Instance.FailureDomain == d.failureDomain,
			Avoid:        !d.works(t, now),
			Slow:         t.Slowness > 1,
			Doubtful:     t.Load.Suspected(now),
		}
	}
	return f
}

// pick chooses a target and counts the request there; the caller holds the lock.
func (f *field) pick(w *waiter) *Target {
	if len(f.targets) == 0 {
		return nil
	}
	candidates := f.candidates
	if len(w.avoid) > 0 {
		candidates = slices.Clone(candidates)
		for i, t := range f.targets {
			candidates[i].Avoid = candidates[i].Avoid || w.avoid[t.Instance.ID]
		}
	}
	best := Choose(candidates, rand.IntN)
	if best < 0 {
		return nil
	}
	f.candidates[best].Requests++
	f.candidates[best].PromptTokens += float64(w.prompt)
	load := f.targets[best].Load
	load.running.Add(1)
	load.prompts.Add(int64(w.prompt))
	return f.targets[best]
}

// works reports whether a target may be sent requests at all. A silent group holds
// up whatever it is sent, while a plain server that failed one request may well serve
// the next.
func (d *Dispatcher) works(t *Target, now time.Time) bool {
	if t.Pool.Model == "" {
		return true
	}
	return !t.Load.Suspected(now) && !d.peers.Suspected(t.Instance.ID) && d.isWhole(t, now)
}

// isWhole reports whether a target has all its members. A member that the list has
// dropped is there as long as the group's events arrive: without it nothing moves.
// It answers to members that are cut off from the store alone.
func (d *Dispatcher) isWhole(t *Target, now time.Time) bool {
	return !t.MemberUnlisted || t.Load.Progressed(now) || d.peers.Progress(t.Instance.ID)
}
