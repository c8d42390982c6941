// Package httpdrain stops HTTP servers without losing requests. http.Server.Shutdown
// closes a connection without an answer if it reads a request from it after Shutdown was
// called, and closing a TCP listener resets the connections that wait in its queue.
package httpdrain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

const (
	// pollInterval is the time between two checks for open connections.
	pollInterval = 10 * time.Millisecond
	// maxNewTime is how long a new connection may take to send a request during the stop.
	maxNewTime = time.Second
)

// Server is an HTTP server that can be stopped without losing requests.
type Server struct {
	*http.Server

	// serving counts the calls of Serve in progress.
	serving sync.WaitGroup

	mu sync.Mutex
	// stopping is true once Stop was called.
	stopping bool
	// listeners are those passed to Serve.
	listeners []net.Listener
	// pending maps the connections that have a request in progress, or have sent none yet,
	// to their state.
	pending map[net.Conn]connState
}

type connState struct {
	http.ConnState
	since time.Time
}

// NewServer returns a Server. It replaces the ConnState of server.
func NewServer(server *http.Server) *Server {
	s := &Server{Server: server, pending: map[net.Conn]connState{}}
	server.ConnState = s.recordState
	return s
}

func (s *Server) recordState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		s.pending[conn] = connState{state, time.Now()}
		return
	}
	delete(s.pending, conn)
}

// Serve serves the connections of a listener until Stop is called; it then returns
// http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return errors.Join(http.ErrServerClosed, listener.Close())
	}
	s.listeners = append(s.listeners, listener)
	s.serving.Add(1)
	s.mu.Unlock()
	defer s.serving.Done()
	err := s.Server.Serve(listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// Stop closes the listeners, answers the requests in progress, closes each connection
// after its response, and returns when none is left or ctx is done. The Accept methods of
// the listeners must fail soon after they were closed.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	var failed error
	for _, listener := range s.listeners {
		if err := listener.Close(); !errors.Is(err, net.ErrClosed) {
			failed = errors.Join(failed, err)
		}
	}
	s.mu.Unlock()
	s.serving.Wait()
	s.SetKeepAlivesEnabled(false)
	for ctx.Err() == nil && s.hasPending(time.Now()) {
		wait.For(ctx, pollInterval)
	}
	return errors.Join(failed, s.Close())
}

// hasPending reports whether a connection has a request in progress or is so new that one
// is expected.
func (s *Server) hasPending(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.pending {
		if state.ConnState == http.StateActive || now.Sub(state.since) <= maxNewTime {
			return true
		}
	}
	return false
}
