package forward

import "fmt"

// errEvacuated is returned if all backend servers that could run the request are in evacuated
// failure domains.
var errEvacuated = fmt.Errorf("%w: the failure domains of all are evacuated", ErrNoTarget)

// noTargetError returns the error for a request to a pool without targets.
func (d *Dispatcher) noTargetError(p Pool) error {
	if d.tables.Load().isEvacuated(p) {
		return errEvacuated
	}
	return ErrNoTarget
}

// decide chooses a target for a waiter, and reports whether there is nothing left to wait
// for: without a target, the request is refused. A stream that its caller has a part of waits
// for groups in other failure domains.
func (s *candidateSet) decide(w *waiter) (target *Target, decided bool) {
	target = s.pick(w)
	return target, target != nil || (s.evacuated && !w.key.Begun)
}

// newAssignedSlot returns the slot at the target that a waiter was assigned, or the error for
// a request that is refused.
func (d *Dispatcher) newAssignedSlot(target *Target, w *waiter, p Pool) (*Slot, error) {
	if target != nil {
		return d.newSlot(target, w), nil
	}
	return nil, d.noTargetError(p)
}
