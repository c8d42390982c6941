package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Watch is asked before a read blocks and whenever its answer has passed without a
// byte. Silent is the time since the request was sent, the head of its answer arrived
// or Progress was called last, whatever bytes came meanwhile. It returns how long to
// wait on, or an error that ends the read.
type Watch func(silent time.Duration) (time.Duration, error)

const (
	// maxHead bounds the head of an answer in bytes. Servers accept heads of 8 to 64
	// KiB by default.
	maxHead = 64 << 10
	// maxOverdue bounds the bytes that are read after the watch has ended the wait,
	// because they arrived while this process stood still.
	maxOverdue = 64 << 10
)

// errHeadTooLarge means that the head of an answer has no end within its bound.
var errHeadTooLarge = fmt.Errorf("head of the answer has more than %d bytes", maxHead)

// Conn is a connection that carries one request at a time.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	pool    *Pool
	address string
	idle    time.Duration
	// keepUntil is when the connection, while kept, is too old for use.
	keepUntil time.Time

	watch Watch
	// progressAt is when the silence that the watch judges began, overdue the number
	// of bytes read since the watch ended it.
	progressAt time.Time
	overdue    int
	// inHead tells that the head of an answer is read, of which headLeft bytes are
	// allowed.
	inHead   bool
	headLeft int
	close    sync.Once
}

// Read implements io.Reader below the buffer.
func (c *Conn) Read(p []byte) (int, error) {
	if c.inHead && c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.read(p)
	if c.inHead {
		c.headLeft -= n
	}
	return n, err
}

// read reads what arrives before the watch ends the wait.
func (c *Conn) read(p []byte) (int, error) {
	for {
		var deadline time.Time
		if c.watch != nil {
			d, err := c.watch(time.Since(c.progressAt))
			if err != nil {
				return c.readOverdue(p, err)
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

// readOverdue reads what arrived while this process, not the backend server, stood
// still; without such bytes it returns the watch's error.
func (c *Conn) readOverdue(p []byte, overdue error) (int, error) {
	if c.overdue >= maxOverdue || c.quiet() {
		return 0, overdue
	}
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := c.raw.Read(p)
	c.overdue += n
	return n, err
}

// progress ends the silence that the watch judges.
func (c *Conn) progress() { c.progressAt, c.overdue = time.Now(), 0 }

// quiet reports whether nothing has arrived, neither bytes nor an end.
func (c *Conn) quiet() bool {
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// Close ends the connection.
func (c *Conn) Close() {
	c.close.Do(func() {
		// The connection is given up; its close has nothing to report.
		_ = c.raw.Close()
		c.pool.forget(c.address)
	})
}
