package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// maxBodyWait is the longest time that a body waits for memory.
	maxBodyWait = 700 * time.Millisecond
	// memoryRetry is the time after which a request that got no memory may come back.
	memoryRetry = time.Second
	// skipTime is how long the rest of the body of a refused request is read, which keeps the
	// connection usable if the caller has sent it already.
	skipTime = 500 * time.Millisecond
	// writeSize is the number of bytes after which the progress of a response is recorded.
	writeSize = 16 << 10
)

// keyBodyRead is set in a request's context once its body was read.
const keyBodyRead = "bodyRead"

// readBody reads the whole request body. A body that is shorter than its declared
// length is an error. Its memory, and that of a number of copies, is held until the end of
// the request.
func (g *Gateway) readBody(r *request, copies int) ([]byte, error) {
	c := r.ctx
	if c.Request.ContentLength > g.config.MaxBodyBytes {
		return nil, g.tooLargeError()
	}
	control := http.NewResponseController(c.Writer)
	hold := g.Memory.NewHold(memory.Bodies, r.owner(), func() { _ = control.SetReadDeadline(time.Now()) })
	r.body = memory.NewBuffer(hold)
	hold.Expect(max(c.Request.ContentLength-memory.FreeSize, 0))
	_ = control.SetReadDeadline(time.Now().Add(g.config.BodyTimeout))
	stop := context.AfterFunc(g.ending, func() { _ = control.SetReadDeadline(time.Now()) })
	err := r.body.Fill(c.Request.Body, g.config.MaxBodyBytes, func() time.Duration { return maxBodyWait })
	stopped := !stop()
	var body []byte
	if err == nil {
		c.Set(keyBodyRead, true)
		body, err = r.body.Join(maxBodyWait)
	}
	if err == nil && copies > 0 && len(body) > memory.FreeSize {
		err = hold.Acquire(int64(copies*len(body)), maxBodyWait)
	}
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, g.tooLargeError()
	case stopped:
		return nil, stoppingError()
	case !hold.SetRevocable(false):
		return nil, noMemoryError(c, memory.ErrRevoked)
	case errors.Is(err, memory.ErrNoMemory):
		return nil, noMemoryError(c, err)
	case err != nil:
		c.Header("Connection", "close")
		return nil, verdict.BadField("body", "the body is not whole").WithCause(err)
	}
	// net/http keeps reading in the background to detect that the caller disconnects, so
	// the read deadline is removed.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// owner returns for whom the memory of the request is held.
func (r *request) owner() memory.Owner {
	host, _, err := net.SplitHostPort(r.ctx.Request.RemoteAddr)
	if err != nil {
		// Without a port it is the address itself.
		host = r.ctx.Request.RemoteAddr
	}
	owner := memory.Owner{Address: host}
	if r.organisation != nil {
		owner.Organisation = r.organisation.Name
	}
	return owner
}

// releaseBody frees the memory of the body.
func (r *request) releaseBody() {
	if r.body != nil {
		r.body.Release()
	}
}

// tooLargeError returns the refusal of a body that exceeds MaxBodyBytes.
func (g *Gateway) tooLargeError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body is over %d bytes", g.config.MaxBodyBytes)
}

// noMemoryError returns the refusal of a request because the node has no memory for it.
func noMemoryError(c *gin.Context, cause error) *verdict.Error {
	c.Header("Connection", "close")
	return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "this node has no memory for the request").
		WithCause(cause).WithRetryAfter(memoryRetry)
}

// skipBody limits the time to read the rest of a body that net/http skips after a refusal. A
// body for which there is no room isn't skipped.
func (g *Gateway) skipBody(c *gin.Context, err *verdict.Error) {
	if c.Request.Body == http.NoBody || c.GetBool(keyBodyRead) {
		return
	}
	until := time.Now().Add(skipTime)
	if err.Reason == verdict.ReasonTooLarge || errors.Is(err, memory.ErrNoMemory) || errors.Is(err, memory.ErrRevoked) {
		until = time.Now()
	}
	// If it fails, the connection is broken.
	_ = http.NewResponseController(c.Writer).SetReadDeadline(until)
}

// holdResponse returns the memory for the response of a plain server. It may be given up only
// while the response is sent to a caller who doesn't read.
func (p *plainCall) holdResponse() *memory.Hold {
	control := http.NewResponseController(p.ctx.Writer)
	hold := p.gateway.Memory.NewHold(memory.Responses, p.owner(), func() { _ = control.SetWriteDeadline(time.Now()) })
	hold.SetRevocable(false)
	return hold
}

// writeBody writes the body of a response and records the progress.
func (p *plainCall) writeBody(body []byte) {
	p.hold.SetRevocable(true)
	for len(body) > 0 {
		n := min(writeSize, len(body))
		// An error means that the caller has disconnected.
		if _, err := p.ctx.Writer.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
		p.hold.Advance()
	}
}
