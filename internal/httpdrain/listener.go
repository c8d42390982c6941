package httpdrain

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quietTime is the time without a new connection after which the queue is taken to
	// be empty.
	quietTime = 20 * time.Millisecond
	// maxDrainTime bounds the time after Close for which new connections are awaited.
	maxDrainTime = 300 * time.Millisecond
	// maxQueueTime bounds the time after that in which connections are accepted that are
	// already in the queue.
	maxQueueTime = 300 * time.Millisecond
)

// Listener is a net.Listener. After Close, Accept returns the connections that wait in
// the queue and then net.ErrClosed; the address is released when it does.
type Listener struct {
	tcp *net.TCPListener
	// drainUntil is the time after which no new connection is awaited, in Unix nanoseconds;
	// 0 before Close.
	drainUntil atomic.Int64
}

// Listen listens on a TCP address; network is "tcp", "tcp4" or "tcp6".
func Listen(network, address string) (*Listener, error) {
	resolved, err := net.ResolveTCPAddr(network, address)
	if err != nil {
		return nil, err
	}
	tcp, err := net.ListenTCP(network, resolved)
	if err != nil {
		return nil, err
	}
	return &Listener{tcp: tcp}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if until := l.drainUntil.Load(); until != 0 {
		now := time.Now()
		if overdue := now.Sub(time.Unix(0, until)); overdue >= 0 && (overdue >= maxQueueTime || !l.isConnectionWaiting()) {
			return nil, l.release()
		}
		if err := l.tcp.SetDeadline(now.Add(quietTime)); err != nil {
			return nil, errors.Join(err, l.release())
		}
	}
	conn, err := l.tcp.Accept()
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded) || l.drainUntil.Load() == 0:
		return conn, err
	case l.isConnectionWaiting():
		// Accept doesn't look at the queue once its deadline has passed.
		return l.Accept()
	}
	return nil, l.release()
}

// isConnectionWaiting reports whether a connection is in the queue; false if that isn't known.
func (l *Listener) isConnectionWaiting() (waiting bool) {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		queue := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(queue, 0)
		waiting = err == nil && n > 0 && queue[0].Revents&unix.POLLIN != 0
	})
	return waiting && err == nil
}

// release closes the socket. It returns net.ErrClosed unless that fails.
func (l *Listener) release() error {
	if err := l.tcp.Close(); err != nil {
		return err
	}
	return net.ErrClosed
}

// Close implements net.Listener. It doesn't wait; a call of Accept must follow or be in
// progress for the socket to be closed.
func (l *Listener) Close() error {
	now := time.Now()
	if !l.drainUntil.CompareAndSwap(0, now.Add(maxDrainTime).UnixNano()) {
		return nil
	}
	return l.tcp.SetDeadline(now.Add(quietTime))
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }
