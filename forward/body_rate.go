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
	// minBodyRate is the lowest average rate of a body in bytes per second, after the
	// grace time.
	minBodyRate = 64
)

// errBodyTooSlow is returned if a server sends its response so slowly that it seems to
// keep the connection busy only.
var errBodyTooSlow = fmt.Errorf("the response arrives at less than %d bytes per second", minBodyRate)

// rateReader reads a body and fails if it arrives at less than minBodyRate. It checks the
// rate when bytes arrive: a server that sends nothing for a while and then a larger part
// is sound, and its silence is bounded by the deadline of the request.
type rateReader struct {
	source io.Reader
	since  time.Time
	read   int
}

func newRateReader(source io.Reader, now time.Time) *rateReader {
	return &rateReader{source: source, since: now}
}

// Read implements io.Reader.
func (r *rateReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.read += n
	if err == nil && isTooSlow(r.read, time.Since(r.since)) {
		return n, errBodyTooSlow
	}
	return n, err
}

// isTooSlow reports whether a body of which the given number of bytes has arrived in the
// given time is too slow.
func isTooSlow(read int, elapsed time.Duration) bool {
	return elapsed > bodyRateGrace && float64(read) < minBodyRate*(elapsed-bodyRateGrace).Seconds()
}
