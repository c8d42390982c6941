package engine

// maxNewSequence is the highest sequence of an entry by which a start of an instance is first
// seen: an instance writes its entry about once a second and at each change.
const maxNewSequence = 10

// isOlder reports whether an entry of the same instance was written before another one, if no
// clock was set back.
func (in *Instance) isOlder(other *Instance) bool {
	if in.StartedMs != other.StartedMs {
		return in.StartedMs < other.StartedMs
	}
	return in.Sequence < other.Sequence
}

// isOlderInStart reports whether an entry was written by the same start of the instance as
// another one, and before it, or lacks what that one shows. Entries that don't tell the start
// can't be compared, since a restart begins a new count.
func (in *Instance) isOlderInStart(other *Instance) bool {
	if in.StartedMs == 0 || in.StartedMs != other.StartedMs {
		return false
	}
	if in.Sequence != other.Sequence {
		return in.Sequence < other.Sequence
	}
	return in.precedes(other)
}

// lacksStart reports whether an entry is of another writer because it doesn't tell the start
// while another one of the same instance does.
func (in *Instance) lacksStart(other *Instance) bool {
	return in.StartedMs == 0 && other.StartedMs != 0
}

// precedes reports whether the state in an entry comes before that in another one of the same
// start and sequence. An instance doesn't cease to leave, and begins and leaves a group, opens
// and closes it by commands only, after which its sequence is another one.
func (in *Instance) precedes(other *Instance) bool {
	if in.Leaving != other.Leaving {
		return other.Leaving
	}
	a, b := in.Membership, other.Membership
	switch {
	case a.Group == "" || b.Group == "":
		return a.Group == "" && b.Group != ""
	case a.Epoch != b.Epoch:
		return a.Epoch < b.Epoch
	case a.Group != b.Group:
		return false
	}
	return phaseOrder[a.Phase] < phaseOrder[b.Phase]
}

// phaseOrder is the order in which a member reports phases without a further command: it
// finishes closing, joins, opens after the command to do so, or breaks.
var phaseOrder = map[Phase]int{Closing: 0, Joining: 1, Ready: 2, Open: 3, Broken: 4}
