package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a link does to the bytes that pass.
type mode int

// Modes of a link.
const (
	// reset refuses connections and ends open ones.
	reset mode = iota
	// silent accepts connections and forwards nothing either way.
	silent
	// deaf forwards what the target sends only.
	deaf
	// mute forwards what the source sends only.
	mute
	// slow forwards after a delay.
	slow
)

// slowDelay is the delay of each piece of a slow link.
const slowDelay = 120 * time.Millisecond

// link forwards TCP connections to a target, and can fail.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	faults  map[mode]int
	changed chan struct{}
	conns   map[net.Conn]bool
}

// newLink listens on an address and forwards to a target.
func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, faults: map[mode]int{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// address returns where the link listens.
func (l *link) address() string { return l.listener.Addr().String() }

// begin starts a fault, end ends it. Faults of one link may overlap.
func (l *link) begin(m mode) { l.change(m, 1) }
func (l *link) end(m mode)   { l.change(m, -1) }

func (l *link) change(m mode, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[m] += by
	close(l.changed)
	l.changed = make(chan struct{})
	if l.faults[reset] > 0 {
		for conn := range l.conns {
			abort(conn)
		}
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// has reports whether a fault lasts, and a channel that is closed at the next change.
func (l *link) has(modes ...mode) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range modes {
		if l.faults[m] > 0 {
			return true, l.changed
		}
	}
	return false, l.changed
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.forward(conn)
		}
	}
}

func (l *link) keep(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
}

func (l *link) drop(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *link) forward(conn net.Conn) {
	l.keep(conn)
	defer l.drop(conn)
	if refused, _ := l.has(reset); refused {
		abort(conn)
		return
	}
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		abort(conn)
		return
	}
	l.keep(out)
	defer l.drop(out)
	done := make(chan struct{})
	go func() {
		l.copy(out, conn, deaf)
		close(done)
	}()
	l.copy(conn, out, mute)
	<-done
}

// copy passes bytes on until either side ends; the fault stops it for as long as it
// lasts, as does a silent link.
func (l *link) copy(to, from net.Conn, fault mode) {
	defer func() {
		// The other direction ends, too.
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			stopped, changed := l.has(silent, fault)
			if !stopped {
				break
			}
			<-changed
		}
		if delayed, _ := l.has(slow); delayed {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				abort(to)
			}
			return
		}
	}
}

// close ends the link.
func (l *link) close() {
	_ = l.listener.Close()
	l.begin(reset)
}
