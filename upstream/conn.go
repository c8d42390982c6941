package upstream

import (
	"bufio"
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/resetconn"
)

// Watch decides how long a read may block. It is called before a read blocks, and again
// whenever the returned duration has passed without a byte. sinceProgress is the time since
// the request was sent, the head of its response arrived or Progress was called last,
// regardless of bytes received in between. Watch returns how much longer to wait, or an
// error that ends the read.
type Watch func(sinceProgress time.Duration) (time.Duration, error)

const (
	// maxPending bounds the bytes that are read after the watch has ended the wait.
	// They may have arrived while this process was suspended.
	maxPending = 64 << 10
)

// Conn is a connection that carries one request at a time.
type Conn struct {
	raw         *resetconn.Conn
	reader      *bufio.Reader
	pool        *Pool
	address     string
	idleTimeout time.Duration
	// idleUntil is when the idle connection becomes too old to be reused.
	idleUntil time.Time

	watch Watch
	// progressAt is when progress was last made; the watch gets the time since then.
	progressAt time.Time
	// pendingRead is the number of bytes read since the watch ended the wait.
	pendingRead int
	// inHead is true while the head of a response is read.
	inHead bool
	head   headLimit
	// desynchronised is true once a response to another request was skipped: its server
	// may send further ones when the next request expects its response.
	desynchronised bool
	closeOnce      sync.Once
}

// Read implements io.Reader for the read buffer. It limits the head of a response.
func (c *Conn) Read(p []byte) (int, error) {
	if c.inHead && c.head.isExceeded() {
		return 0, c.head.failed
	}
	if !c.inHead {
		return c.read(p)
	}
	started := time.Now()
	n, err := c.read(p)
	if err != nil {
		return n, err
	}
	return n, c.head.add(p[:n], time.Since(started))
}

// read reads bytes that arrive before the watch ends the wait.
func (c *Conn) read(p []byte) (int, error) {
	for {
		var deadline time.Time
		if c.watch != nil {
			d, err := c.watch(time.Since(c.progressAt))
			if err != nil {
				return c.readPending(p, err)
			}
			deadline = time.Now().Add(d)
		}
		if err := c.raw.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := c.raw.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// readPending reads bytes that arrived while this process, not the backend server, was
// suspended. Without such bytes it returns the watch's error.
func (c *Conn) readPending(p []byte, timeout error) (int, error) {
	if c.pendingRead >= maxPending {
		return 0, timeout
	}
	switch err := c.raw.Peek(); {
	case errors.Is(err, syscall.EAGAIN):
		return 0, timeout
	case err != nil:
		return 0, err
	}
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := c.raw.Read(p)
	c.pendingRead += n
	return n, err
}

// markProgress restarts the time that the watch gets.
func (c *Conn) markProgress() { c.progressAt, c.pendingRead = time.Now(), 0 }

// isQuiet reports whether the connection is open and has no unread bytes in the kernel.
func (c *Conn) isQuiet() bool { return errors.Is(c.raw.Peek(), syscall.EAGAIN) }

// Close closes the connection and removes it from the pool's count.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		// The connection is discarded, so an error of its close is of no interest.
		_ = c.raw.Close()
		c.pool.release(c.address)
	})
}
