package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
)

// Limits on callers until the configuration is known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// callerServer serves callers on one listener. The limits of net/http's server
// are fixed, so new limits take a new server, which gets the connections accepted
// from then on.
type callerServer struct {
	handler  http.Handler
	listener net.Listener

	mu      sync.Mutex
	limits  catalog.Limits
	servers []*http.Server
	feed    *feed
}

func newCallerServer(handler http.Handler, listener net.Listener) *callerServer {
	s := &callerServer{handler: handler, listener: listener}
	s.apply(catalog.Limits{})
	return s
}

// apply takes new limits on callers.
func (s *callerServer) apply(limits catalog.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feed != nil && limits == s.limits {
		return
	}
	s.limits = limits
	server := &http.Server{
		Handler:           s.handler,
		MaxHeaderBytes:    orDefault(limits.MaxHeaderBytes, defaultHeaderBytes),
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout),
	}
	if s.feed != nil {
		s.feed.stop()
	}
	s.feed = &feed{address: s.listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	s.servers = append(s.servers, server)
	feed := s.feed
	go func() { _ = server.Serve(feed) }()
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// run accepts connections until the listener is closed.
func (s *callerServer) run() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors, or a connection that broke at once.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for !s.give(conn) {
		}
	}
}

// give hands a connection to the newest server; it fails if that one was replaced
// meanwhile.
func (s *callerServer) give(conn net.Conn) bool {
	s.mu.Lock()
	feed := s.feed
	s.mu.Unlock()
	select {
	case feed.conns <- conn:
		return true
	case <-feed.done:
		return false
	}
}

// shutdown takes no more connections and waits for the requests in progress.
func (s *callerServer) shutdown(ctx context.Context) {
	_ = s.listener.Close()
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	var all sync.WaitGroup
	for _, server := range servers {
		all.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		})
	}
	all.Wait()
}

// feed is the listener of one server.
type feed struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case conn := <-f.conns:
		return conn, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *feed) Close() error {
	f.stop()
	return nil
}

func (f *feed) stop() { f.once.Do(func() { close(f.done) }) }

// Addr implements net.Listener.
func (f *feed) Addr() net.Addr { return f.address }
