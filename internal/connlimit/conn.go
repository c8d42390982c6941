package connlimit

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/memory"
)

const (
	// freeHead is the size in bytes of a parsed head up to which it is counted with its
	// connection.
	freeHead = 16 << 10
	// byteCost and lineCost are the bytes of memory for a byte and for a line of a head: it is
	// read, parsed and kept in a map.
	byteCost, lineCost = 2, 128
	// headStep is the unit in which memory for a head is taken.
	headStep = 16 << 10
	// headRetry is the time between two attempts to get memory for a head, and headAttempts
	// their number.
	headRetry, headAttempts = 10 * time.Millisecond, 50
)

var errNoMemory = errors.New("no memory left for large heads")

// conn is a connection whose state is known: idle, in a head or in a request.
type conn struct {
	net.Conn
	limiter   *Limiter
	closeOnce sync.Once
	// inRequest is true while a request is handled, whose body the server reads.
	inRequest atomic.Bool
	// cost is that of the head so far and reserved the memory taken for it, in bytes. Only
	// the goroutine that reads uses cost.
	cost     int64
	reserved atomic.Int64

	// The fields below are guarded by limiter.mu. list is the one that contains the
	// connection, or nil, and since the time from which it does.
	list    *list.List
	element *list.Element
	since   time.Time
	closed  bool
}

// move puts the connection at the end of a list, or in none. The caller holds limiter.mu.
func (c *conn) move(to *list.List, now time.Time) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list, c.since = to, now
	if to != nil && !c.closed {
		c.element = to.PushBack(c)
	} else {
		c.list = nil
	}
}

func (c *conn) moveTo(to *list.List) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.move(to, time.Now())
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.inRequest.Load() {
		return n, err
	}
	if c.cost == 0 {
		c.moveTo(c.limiter.heads)
	}
	c.cost += int64(n) * byteCost
	for _, b := range p[:n] {
		if b == '\n' {
			c.cost += lineCost
		}
	}
	if c.cost-freeHead > c.reserved.Load() && !c.reserve() {
		// The server takes it for a broken connection.
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errNoMemory}
	}
	return n, err
}

// reserve takes memory for the head, if need be that of heads that are slower to arrive.
func (c *conn) reserve() bool {
	heads := c.limiter.budget.Fixed(memory.Heads)
	for range headAttempts {
		if heads.TryAcquire(headStep) {
			if c.reserved.Add(headStep) >= c.cost-freeHead {
				return true
			}
			continue
		}
		c.limiter.closeSlowestHead(c)
		time.Sleep(headRetry)
	}
	return false
}

// release gives the memory of the head back.
func (c *conn) release() {
	if n := c.reserved.Swap(0); n > 0 {
		c.limiter.budget.Fixed(memory.Heads).Release(n)
	}
}

func (c *conn) beginRequest() {
	c.inRequest.Store(true)
	c.moveTo(nil)
}

// endRequest ends a request. The server doesn't read while a handler begins or ends, except
// for one byte that shows whether the caller disconnects.
func (c *conn) endRequest() {
	c.release()
	c.cost = 0
	c.moveTo(c.limiter.idle)
	c.inRequest.Store(false)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.limiter.mu.Lock()
		c.move(nil, time.Now())
		c.closed = true
		c.limiter.open--
		c.limiter.mu.Unlock()
		c.limiter.budget.EndConnection()
	})
	err := c.Conn.Close()
	c.release()
	return err
}

// CloseWrite closes the write side, if the connection supports that.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
