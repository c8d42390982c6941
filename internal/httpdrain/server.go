// Package httpdrain stops HTTP servers without losing requests. http.Server closes a
// connection without an answer if it reads a request from it after Shutdown was called, or
// is reading one when it closes idle connections; closing a TCP listener resets the
// connections that wait in its queue.
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
	// open are the open connections.
	open map[*conn]struct{}
}

// NewServer returns a Server. It replaces the ConnState and the Handler of server.
func NewServer(server *http.Server) *Server {
	s := &Server{Server: server, open: map[*conn]struct{}{}}
	server.ConnState = s.recordState
	server.Handler = s.closeWhileStopping(server.Handler)
	return s
}

// closeWhileStopping makes the responses to requests that arrive during the stop close their
// connections.
func (s *Server) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isStopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) recordState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The head may have been read together with the previous request.
		c.setBusy()
		return
	case http.StateIdle:
		c.setIdle()
		if s.isStopping() {
			c.closeIfIdle(time.Now())
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.open[c] = struct{}{}
	} else {
		delete(s.open, c)
	}
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
	err := s.Server.Serve(connListener{listener})
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
	for s.closeIdle(time.Now()) > 0 && wait.For(ctx, pollInterval) {
	}
	return errors.Join(failed, s.Close())
}

// closeIdle closes the idle connections and returns the number of those that are still open.
func (s *Server) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle(now)
	}
	return len(s.open)
}
