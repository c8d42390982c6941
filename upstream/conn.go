package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Watch is asked before a read blocks and whenever its answer has passed
// without a byte. It returns how long to wait on, or an error that ends the read.
type Watch func(silent time.Duration) (time.Duration, error)

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
	close sync.Once
}

// Read implements io.Reader below the buffer.
func (c *Conn) Read(p []byte) (int, error) {
	started := time.Now()
	for {
		var deadline time.Time
		if c.watch != nil {
			d, err := c.watch(time.Since(started))
			if err != nil {
				return 0, err
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
		if !c.quiet() {
			// This process stood still, not the backend server.
			started = time.Now()
		}
	}
}

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
