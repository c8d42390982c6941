package forward

import (
	"cmp"
	"time"
)

// firstEventTime is the time from a free place to the first event of an answer:
// the prompt's reading and a pass of the batch.
const firstEventTime = 180 * time.Millisecond

// Turn is what the order of waiting requests reads. Requests that compare equal
// keep the order of their arrival.
type Turn struct {
	// Begun tells that the caller has a part of the answer and waits for the rest.
	Begun bool
	// Rank is lower for more urgent requests.
	Rank int
	// GoalAt is when the answer is late.
	GoalAt time.Time
}

// Compare orders requests for the next free place: answers that have begun, then
// by rank, then those that can still be on time. It answers to more requests than
// places: in the order of arrival alone, every answer would be late, while a place
// given to a late request is no gain for it.
func (t Turn) Compare(other Turn, now time.Time) int {
	return cmp.Or(
		compareBool(other.Begun, t.Begun),
		cmp.Compare(t.Rank, other.Rank),
		compareBool(t.late(now), other.late(now)),
	)
}

func (t Turn) late(now time.Time) bool { return now.Add(firstEventTime).After(t.GoalAt) }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
