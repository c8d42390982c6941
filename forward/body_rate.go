package forward

import (
	"fmt"
	"io"
	"time"
)

const (
	// bodyRateGrace is the time after the head of a response from which the rate of its
	// body is checked.
	bodyRateGrace = time.Second
	// maxCountedWait is how much of the wait for one read counts. A server that sends
	// nothing for longer is silent and may go on; one that keeps its connection busy
	// sends often.
	maxCountedWait = 250 * time.Millisecond
	// minBodyRate is the lowest average rate of a body in bytes per second, after the
	// grace time.
	minBodyRate = 64
)

// errBodyTooSlow is returned if a server sends its response so slowly that it seems to
// keep the connection busy only.
var errBodyTooSlow = fmt.Errorf("the response arrives at less than %d bytes per second", minBodyRate)

// rateReader reads a body and fails if it arrives at less than minBodyRate. It checks the
// rate when bytes arrive: a server that sends nothing for a while and then the rest is
// sound, and its silence is bounded by the deadline of the request.
type rateReader struct {
	source io.Reader
	// elapsed is the time that reads have taken, up to maxCountedWait each.
	elapsed time.Duration
	read    int
}

func newRateReader(source io.Reader) *rateReader { return &rateReader{source: source} }

// Read implements io.Reader.
func (r *rateReader) Read(p []byte) (int, error) {
	started := time.Now()
	n, err := r.source.Read(p)
	r.elapsed += min(time.Since(started), maxCountedWait)
	r.read += n
	if err == nil && isTooSlow(r.read, r.elapsed) {
		return n, errBodyTooSlow
	}
	return n, err
}

// isTooSlow reports whether a body of which the given number of bytes has arrived in the
// given time is too slow.
func isTooSlow(read int, elapsed time.Duration) bool {
	return elapsed > bodyRateGrace && float64(read) < minBodyRate*(elapsed-bodyRateGrace).Seconds()
}
