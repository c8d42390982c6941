package httpdrain

import (
	"net"
	"sync"
	"time"
)

// conn is a connection that can be closed while no request is read from it. net/http takes a
// connection for idle until the head of a request is complete, and closes it under a request
// that it is reading.
type conn struct {
	net.Conn

	mu sync.Mutex
	// idle is true until a byte of the next request is read.
	idle bool
	// idleSince is when the connection was accepted or its last response was sent.
	idleSince time.Time
	// kept is true once a response was sent.
	kept bool
	// expired is true if reads fail until a byte is read: the server then closes the
	// connection.
	expired bool
	// readDeadline is the one that the server has set.
	readDeadline time.Time
}

func newConn(raw net.Conn) *conn { return &conn{Conn: raw, idle: true, idleSince: time.Now()} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.setBusy()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the write side, if the connection supports that.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setBusy records that a request arrives.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if c.expired {
		c.expired = false
		// If it fails, the connection is broken, which the next read shows.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// setIdle records that a response was sent.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.kept, c.idleSince = true, true, time.Now()
}

// closeIfIdle makes the server close the connection unless a request arrives, or is expected
// because the connection is new.
func (c *conn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.expired || (!c.kept && now.Sub(c.idleSince) <= maxNewTime) {
		return
	}
	c.expired = true
	// If it fails, the connection is broken, and the server closes it.
	_ = c.Conn.SetReadDeadline(now.Add(-time.Second))
}

// connListener wraps the connections of a listener.
type connListener struct{ net.Listener }

// Accept implements net.Listener.
func (l connListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}
