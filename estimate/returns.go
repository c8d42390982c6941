package estimate

import "time"

const (
	// sameTimeout is the difference up to which two timeouts count as equal.
	sameTimeout = 20 * time.Millisecond
	// maxVotes bounds how long an earlier usual timeout is remembered, and minVotes is the
	// number of votes from which it is known.
	maxVotes, minVotes = 100, 8
)

// Timeouts finds the timeout that most callers of a route send (a majority vote), and from it
// how long ago a caller first asked: one that was refused and returns sends what is left.
type Timeouts struct {
	usual time.Duration
	votes int
}

// Add records the timeout of a request, and returns how much of the usual one has passed.
func (t *Timeouts) Add(timeout time.Duration) (passed time.Duration) {
	switch difference := timeout - t.usual; {
	case difference.Abs() <= sameTimeout:
		t.votes = min(t.votes+1, maxVotes)
	case t.votes == 0:
		t.usual, t.votes = timeout, 1
	default:
		t.votes--
	}
	if passed = t.usual - timeout; t.votes < minVotes || passed <= sameTimeout {
		return 0
	}
	return passed
}
