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
	return in.Sequence < other.Sequence || in.Sequence == other.Sequence && in.Membership.Group == "" && other.Membership.Group != ""
}

// lacksStart reports whether an entry is of another writer because it doesn't tell the start
// while another one of the same instance does.
func (in *Instance) lacksStart(other *Instance) bool {
	return in.StartedMs == 0 && other.StartedMs != 0
}
