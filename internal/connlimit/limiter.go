// Package connlimit bounds the connections of the HTTP servers of a process, and the memory
// for the heads of requests that are read from them. A new connection above the bound takes
// the place of the one that has been idle for longest.
package connlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/memory"
)

const (
	// fileReserve is the number of descriptors that are left for files and for the connections
	// of the process to the store and to other nodes. filePart divides the descriptors of a
	// process that has few; the quotient is left in its place.
	fileReserve, filePart = 200, 4
	// connPart divides the other descriptors; the quotient is the number of connections to
	// this node. As many are for those that it opens, one for each request at most.
	connPart = 2
	// defaultDescriptors is the number of descriptors if the system doesn't tell it.
	defaultDescriptors = 1024
	// slowHead is the age from which a head that is incomplete may be given up for another
	// one.
	slowHead = time.Second
)

// Limiter bounds the connections of a process. A nil Limiter has no bounds.
type Limiter struct {
	budget *memory.Budget
	max    int
	closed metrics.Counter

	mu   sync.Mutex
	open int
	// idle are the connections without a request, and heads those that read one, the oldest
	// first.
	idle, heads *list.List
}

// Max returns the number of connections to the process, which is also that of the connections
// that it may open.
func (l *Limiter) Max() int { return l.max }

// New returns a limiter for a process that may open a number of descriptors; 0 means as many
// as the system allows.
func New(descriptors int, budget *memory.Budget, registry metrics.Registry) *Limiter {
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	return &Limiter{budget: budget, max: min(MaxConns(descriptors), budget.MaxConnections()), idle: list.New(), heads: list.New(),
		closed: metrics.GetOrRegisterCounter("connections.closed_for_others", registry)}
}

// MaxConns returns the number of connections to a process that may open a number of
// descriptors.
func MaxConns(descriptors int) int {
	return max((descriptors-min(fileReserve, descriptors/filePart))/connPart, 1)
}

func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return defaultDescriptors
	}
	return int(limit.Cur)
}

// Listen returns a listener whose connections are bounded.
func (l *Limiter) Listen(listener net.Listener) net.Listener {
	if l == nil {
		return listener
	}
	return limitedListener{listener, l}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.add(raw); c != nil {
			return c, nil
		}
		// The peer sees that the connection was closed.
		_ = raw.Close()
	}
}

// add counts a new connection. If there are too many, it closes another one, or returns nil
// if none may be closed.
func (l *Limiter) add(raw net.Conn) *conn {
	l.mu.Lock()
	var victim *conn
	if l.open >= l.max {
		if victim = l.victim(); victim == nil {
			l.mu.Unlock()
			l.closed.Inc(1)
			return nil
		}
	}
	c := &conn{Conn: raw, limiter: l}
	l.open++
	c.move(l.idle, time.Now())
	l.mu.Unlock()
	l.budget.BeginConnection()
	if victim != nil {
		l.closed.Inc(1)
		_ = victim.Close()
	}
	return c
}

// victim returns the connection to close in favour of a new one, or nil.
func (l *Limiter) victim() *conn {
	if front := l.idle.Front(); front != nil {
		return front.Value.(*conn)
	}
	return l.slowestHead()
}

// slowestHead returns the connection that has read a head for longest, or nil if none has for
// slowHead.
func (l *Limiter) slowestHead() *conn {
	front := l.heads.Front()
	if front == nil || time.Since(front.Value.(*conn).since) < slowHead {
		return nil
	}
	return front.Value.(*conn)
}

// closeSlowestHead closes the connection that has read a head for longest, except one.
func (l *Limiter) closeSlowestHead(except *conn) {
	l.mu.Lock()
	c := l.slowestHead()
	l.mu.Unlock()
	if c != nil && c != except {
		l.closed.Inc(1)
		_ = c.Close()
	}
}

type contextKey struct{}

// ConnContext is for the field of the same name of an http.Server.
func (l *Limiter) ConnContext(ctx context.Context, raw net.Conn) context.Context {
	for raw != nil {
		if c, ok := raw.(*conn); ok {
			return context.WithValue(ctx, contextKey{}, c)
		}
		wrapper, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		raw = wrapper.NetConn()
	}
	return ctx
}

// Handler returns a handler by which the limiter knows which connections have a request.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
			c.beginRequest()
			defer c.endRequest()
		}
		next.ServeHTTP(w, r)
	})
}
