package upstream

import (
	"fmt"
	"io"
	"time"
)

const (
	// rateGrace is the time from which the rate of a head or a body is checked.
	rateGrace = time.Second
	// maxCountedWait is how much of the wait for one read counts. A server that sends
	// nothing for longer is silent and may go on; one that keeps its connection busy
	// sends often.
	maxCountedWait = 250 * time.Millisecond
	// minRate is the lowest average rate in bytes per second, after the grace time.
	minRate = 64
)

// errTooSlow is returned if a server sends its response so slowly that it seems to keep the
// connection busy only.
var errTooSlow = fmt.Errorf("the response arrives at less than %d bytes per second", minRate)

// rate checks the average rate of bytes when they arrive: a server that sends nothing for a
// while and then the rest is sound, and its silence is bounded by the deadline of the request.
type rate struct {
	// elapsed is the time that reads have taken, up to maxCountedWait each.
	elapsed time.Duration
	read    int
}

// add counts a read that took some time. It returns an error if the bytes are too slow.
func (r *rate) add(n int, wait time.Duration) error {
	r.elapsed += min(wait, maxCountedWait)
	r.read += n
	if r.elapsed > rateGrace && float64(r.read) < minRate*(r.elapsed-rateGrace).Seconds() {
		return errTooSlow
	}
	return nil
}

// RateReader reads a body and fails if it arrives too slowly.
type RateReader struct {
	source io.Reader
	rate   rate
}

// NewRateReader returns a reader of a body.
func NewRateReader(source io.Reader) *RateReader { return &RateReader{source: source} }

// Read implements io.Reader.
func (r *RateReader) Read(p []byte) (int, error) {
	started := time.Now()
	n, err := r.source.Read(p)
	if tooSlow := r.rate.add(n, time.Since(started)); err == nil {
		err = tooSlow
	}
	return n, err
}
