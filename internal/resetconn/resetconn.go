// Package resetconn provides connections whose reads tell a connection that was broken from
// one that its peer has ended.
//
// The kernel reports the error of a broken connection, such as a reset, to one call only. If
// that isn't a read, later reads return io.EOF, and data that end with the connection look
// complete.
package resetconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection for one reader and one writer at a time.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// broken is the error of the connection that a call other than a read got.
	broken atomic.Pointer[syscall.Errno]
	// ended is true once a read returned io.EOF.
	ended atomic.Bool
}

// New returns a Conn over conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements io.Reader. It returns io.EOF only if the peer has ended its side of the
// connection. Before that it ends a concurrent write, as its error may be the one of the
// connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.ended.Store(true)
	// If the connection was closed, there is no write to end.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if broken := c.broken.Load(); broken != nil {
		return n, *broken
	}
	return n, err
}

// Write implements io.Writer. It fails once a read has returned io.EOF.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// Peek looks for unread bytes in the kernel. It returns nil if there are some or the peer has
// ended its side, EAGAIN if there are none, or the error of the connection. It must not be
// called during a read.
func (c *Conn) Peek() error {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return syscall.EAGAIN
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return err
	}
	c.record(peekErr)
	return peekErr
}

// record keeps an error of the connection. EPIPE isn't one: the peer had ended its side, and
// all that it sent has arrived.
func (c *Conn) record(err error) {
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EAGAIN && errno != syscall.EPIPE {
		c.broken.CompareAndSwap(nil, &errno)
	}
}
