package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// mode is a kind of fault of a link.
type mode int

// Modes of a link.
const (
	// resetConns resets new and open connections.
	resetConns mode = iota
	// blockBoth accepts connections but forwards no data in either direction.
	blockBoth
	// blockToTarget forwards only the data that the target sends.
	blockToTarget
	// blockFromTarget forwards only the data that is sent to the target.
	blockFromTarget
	// delayData forwards data after linkDelay.
	delayData
)

// linkDelay is the delay of each read's data on a link in mode delayData.
const linkDelay = 120 * time.Millisecond

// link is a TCP proxy in front of a target that can inject network faults.
type link struct {
	// refuses is true if the link accepts no connections while its target accepts none, until
	// the next target is set.
	refuses bool

	mu       sync.Mutex
	listener net.Listener
	target   string
	// closed is true once close was called.
	closed bool
	// faults counts the overlapping faults of each mode.
	faults map[mode]int
	// changed is closed and replaced when faults change.
	changed chan struct{}
	conns   map[net.Conn]bool
}

// newLink listens on an address and forwards to a target.
func newLink(address, target string, refuses bool) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{refuses: refuses, listener: listener, target: target, faults: map[mode]int{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go l.accept(listener)
	return l, nil
}

// address returns the address on which the link listens.
func (l *link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

// setTarget changes the target of new connections, which the link accepts from now on.
func (l *link) setTarget(target string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.target = target
	_ = l.listener.Close()
	listener, err := net.Listen("tcp", l.listener.Addr().String())
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// refuseLikeTarget stops accepting connections if the target doesn't accept any.
func (l *link) refuseLikeTarget(target string) {
	if !l.refuses {
		return
	}
	conn, err := net.Dial("tcp", target)
	if err == nil {
		_ = conn.Close()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target == target && errors.Is(err, syscall.ECONNREFUSED) {
		_ = l.listener.Close()
	}
}

// begin starts a fault. Faults of one link may overlap.
func (l *link) begin(m mode) { l.adjust(m, 1) }

// end ends a fault that begin started.
func (l *link) end(m mode) { l.adjust(m, -1) }

// adjust changes the number of faults of a mode, and resets open connections if a fault
// of mode resetConns is active.
func (l *link) adjust(m mode, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[m] += by
	close(l.changed)
	l.changed = make(chan struct{})
	if l.faults[resetConns] > 0 {
		for conn := range l.conns {
			abort(conn)
		}
	}
}

// abort closes a connection with a TCP reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The error of a connection that is already closed doesn't matter.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// active reports whether a fault of any of the modes is active, and returns a channel
// that is closed when faults change next.
func (l *link) active(modes ...mode) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range modes {
		if l.faults[m] > 0 {
			return true, l.changed
		}
	}
	return false, l.changed
}

// accept forwards connections until the listener is closed.
func (l *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.forward(conn)
		}
	}
}

// track adds a connection to those that a fault or close resets.
func (l *link) track(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
}

// closeConn closes and untracks a connection.
func (l *link) closeConn(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// forward connects to the target and relays data in both directions.
func (l *link) forward(conn net.Conn) {
	l.track(conn)
	defer l.closeConn(conn)
	if refused, _ := l.active(resetConns); refused {
		abort(conn)
		return
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		l.refuseLikeTarget(target)
		abort(conn)
		return
	}
	l.track(out)
	defer l.closeConn(out)
	done := make(chan struct{})
	go func() {
		l.relay(out, conn, blockToTarget, nil)
		close(done)
	}()
	l.relay(conn, out, blockFromTarget, func() { l.refuseLikeTarget(target) })
	<-done
}

// relay copies data in one direction until either side closes. It pauses while the
// given fault or one of mode blockBoth is active. ended is called before the end is passed on;
// nil calls nothing.
func (l *link) relay(to, from net.Conn, fault mode, ended func()) {
	defer func() {
		// Closing both connections also ends the other direction.
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			stopped, changed := l.active(blockBoth, fault)
			if !stopped {
				break
			}
			<-changed
		}
		if delayed, _ := l.active(delayData); delayed {
			time.Sleep(linkDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if ended != nil {
				ended()
			}
			if !errors.Is(err, io.EOF) {
				abort(to)
			}
			return
		}
	}
}

// close closes the listener and resets all connections.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	_ = l.listener.Close()
	l.mu.Unlock()
	l.begin(resetConns)
}
