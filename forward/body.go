package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// maxBodyWait is the longest time that a body waits for memory. Callers give an attempt
	// up after a second without any of their bytes being read.
	maxBodyWait = 700 * time.Millisecond
	// waitPart divides the time that a request has left; it waits for memory no longer than
	// the quotient.
	waitPart = 4
	// memoryRetry is the mean time in which memory becomes free.
	memoryRetry = 500 * time.Millisecond
	// skipTime is how long the rest of the body of a refused request is read, which keeps the
	// connection usable if the caller has sent it already.
	skipTime = 500 * time.Millisecond
	// advanceSize is the number of bytes with which a body has advanced.
	advanceSize = 16 << 10
)

// readBody reads the body of the request.
func (h *Handler) readBody(c *call, limit int64) *verdict.Error {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.request.ContentLength > limit {
		return tooLargeError(limit)
	}
	control := http.NewResponseController(c.writer)
	hold := h.Memory.NewHold(memory.Bodies, c.owner(), func() { _ = control.SetReadDeadline(time.Now()) })
	c.body = memory.NewBuffer(hold)
	// A caller that sends its body slowly occupies the connection no longer than it
	// would wait for the response.
	if err := control.SetWriteDeadline(c.deadline.Add(writeGrace)); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInternal, "setting the write deadline of the response failed").WithCause(err)
	}
	if c.request.Body == http.NoBody {
		return nil
	}
	stop := context.AfterFunc(h.ending, func() { _ = control.SetReadDeadline(time.Now()) })
	hold.Expect(max(c.request.ContentLength-memory.FreeSize, 0))
	source := &bodyReader{source: c.request.Body, control: control, hold: hold, ending: h.ending, deadline: c.deadline, stallTime: h.cfg.BodyStallTime}
	err := c.body.Fill(source, limit, c.patience)
	stopped := !stop()
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return tooLargeError(limit)
	case stopped || (errors.Is(err, os.ErrDeadlineExceeded) && h.leaving.Load() != nil):
		return stoppingError().WithCause(err)
	case !hold.SetRevocable(false):
		return h.noMemoryError(memory.ErrRevoked)
	case errors.Is(err, memory.ErrNoMemory):
		return h.noMemoryError(err)
	case source.stalled && errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the body didn't advance within %s", h.cfg.BodyStallTime).WithCause(err)
	case err != nil:
		return verdict.BadField("body", "not readable").WithCause(err)
	}
	// After the body, the server reads without a deadline to detect that the caller
	// disconnects.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInternal, "clearing the read deadline of the body failed").WithCause(err)
	}
	return nil
}

// owner returns for whom the memory of the request is held.
func (c *call) owner() memory.Owner {
	host, _, err := net.SplitHostPort(c.request.RemoteAddr)
	if err != nil {
		// Without a port it is the address itself.
		host = c.request.RemoteAddr
	}
	return memory.Owner{Organisation: c.organisationName(), Address: host}
}

// patience returns how long the body may wait for memory.
func (c *call) patience() time.Duration {
	return min(maxBodyWait, time.Until(c.deadline)/waitPart)
}

// releaseBody frees the memory of the body.
func (c *call) releaseBody() {
	if c.body != nil {
		c.body.Release()
	}
}

func tooLargeError(limit int64) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body has more than %d bytes", limit)
}

// noMemoryError returns the refusal of a request because the node has no memory for it.
func (h *Handler) noMemoryError(cause error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "this node has no memory for the request").
		WithCause(cause).WithRetryAfter(jitter(memoryRetry))
}

// refuseUnread refuses a request whose body may not have been read to its end. The rest is
// skipped only for a moment; it isn't, and the connection is closed, if the body is too large
// or there is no memory.
func (h *Handler) refuseUnread(c *call, err *verdict.Error) {
	if c.request.Body != http.NoBody {
		until := time.Now().Add(skipTime)
		if err.Reason == verdict.ReasonTooLarge || errors.Is(err, memory.ErrNoMemory) || errors.Is(err, memory.ErrRevoked) {
			until = time.Now()
			c.writer.Header().Set("Connection", "close")
		}
		// If it fails, the connection is broken.
		_ = http.NewResponseController(c.writer).SetReadDeadline(until)
	}
	h.respondError(c, err)
}

// bodyReader reads the body of a request as long as it advances, and its memory isn't
// revoked.
type bodyReader struct {
	source    io.Reader
	control   *http.ResponseController
	hold      *memory.Hold
	ending    context.Context
	deadline  time.Time
	stallTime time.Duration
	// advancedAt is when advanceSize bytes had been read since the time before, and count the
	// bytes since then.
	advancedAt time.Time
	count      int
	// stalled is true if the next read ends because the body doesn't advance.
	stalled bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if now := time.Now(); r.count >= advanceSize || r.advancedAt.IsZero() {
		r.advancedAt, r.count = now, 0
	}
	until := r.advancedAt.Add(r.stallTime)
	if r.stalled = until.Before(r.deadline); !r.stalled {
		until = r.deadline
	}
	if err := r.control.SetReadDeadline(until); err != nil {
		return 0, err
	}
	// The end of the memory, or of the node, may have set another deadline before.
	if r.hold.Revoked() {
		return 0, memory.ErrRevoked
	}
	if err := r.ending.Err(); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.count += n
	return n, err
}
