package forward

import (
	"cmp"
	"time"
)

// firstEventTime is the time from a free slot to the first event of a response, reading the
// prompt and one step of the batch, if it isn't estimated.
const firstEventTime = 180 * time.Millisecond

// QueueKey determines the order of waiting requests. Requests that compare equal stay
// in the order of their arrival.
type QueueKey struct {
	// Begun is true if the caller has received a part of the response.
	Begun bool
	// Rank is lower for more urgent requests.
	Rank int
	// GoalAt is the time after which the response is late.
	GoalAt time.Time
	// FirstEvent is the estimated time from a free slot to the first event; 0 if unknown.
	FirstEvent time.Duration
}

// Compare orders requests for the next free slot: first those with a partial response,
// then by rank, then those that can still be on time. This matters if there are more
// requests than slots: in the order of arrival alone, every response would be late, while
// a slot doesn't make a late request timely any more.
func (k QueueKey) Compare(other QueueKey, now time.Time) int {
	return cmp.Or(
		compareBool(other.Begun, k.Begun),
		cmp.Compare(k.Rank, other.Rank),
		compareBool(k.late(now), other.late(now)),
	)
}

func (k QueueKey) late(now time.Time) bool { return now.After(k.startBy()) }

// startBy returns the time by which the request needs a slot for a response that is on time.
func (k QueueKey) startBy() time.Time { return k.GoalAt.Add(-cmp.Or(k.FirstEvent, firstEventTime)) }

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
