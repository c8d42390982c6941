package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/internal/connlimit"
	"github.com/rattanlanding/rattanlanding/internal/httpdrain"
)

// Limits on callers that apply until a configuration sets others.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
)

// callerServer serves callers on one listener. The limits of an http.Server can't be
// changed while it runs, so new limits start a new http.Server, which gets the
// connections accepted from then on.
type callerServer struct {
	handler  http.Handler
	listener net.Listener
	limiter  *connlimit.Limiter
	logger   log.Logger
	// accepted is closed when no more connections are accepted.
	accepted chan struct{}

	mu     sync.Mutex
	limits catalog.Limits
	// servers are all servers started so far; older ones keep their connections.
	servers []*httpdrain.Server
	// current is the listener of the newest server.
	current *connListener
}

// newCallerServer returns a server for the connections of a listener whose Accept fails
// soon after it was closed. The limiter bounds them.
func newCallerServer(handler http.Handler, listener net.Listener, limiter *connlimit.Limiter, logger log.Logger) *callerServer {
	s := &callerServer{handler: limiter.Handler(handler), listener: limiter.Listen(listener), limiter: limiter, logger: logger, accepted: make(chan struct{})}
	s.applyLimits(catalog.Limits{})
	return s
}

// applyLimits starts a server with new limits for the connections accepted from now
// on. It does nothing if the limits are unchanged.
func (s *callerServer) applyLimits(limits catalog.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && limits == s.limits {
		return
	}
	s.limits = limits
	server := httpdrain.NewServer(&http.Server{
		Handler:           s.handler,
		ConnContext:       s.limiter.ConnContext,
		MaxHeaderBytes:    orDefault(limits.MaxHeaderBytes, defaultMaxHeaderBytes),
		ReadHeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(limits.IdleTimeout, defaultIdleTimeout),
	})
	if s.current != nil {
		s.current.stop()
	}
	s.current = &connListener{address: s.listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	s.servers = append(s.servers, server)
	current := s.current
	go func() { _ = server.Serve(current) }()
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// run accepts connections until the listener is closed.
func (s *callerServer) run() error {
	defer close(s.accepted)
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The process is out of file descriptors, or the connection was aborted.
			_ = level.Warn(s.logger).Log("msg", "accepting a caller's connection failed", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for !s.offer(conn) {
		}
	}
}

// offer passes a connection to the newest server and reports whether that took it. It
// returns false if the server was replaced in the meantime.
func (s *callerServer) offer(conn net.Conn) bool {
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	select {
	case current.conns <- conn:
		return true
	case <-current.done:
		return false
	}
}

// shutdown stops accepting connections and waits for the requests in flight until ctx
// is done; then it closes the remaining connections. The servers stop only when each
// accepted connection was passed to one.
func (s *callerServer) shutdown(ctx context.Context) {
	if err := s.listener.Close(); err != nil {
		_ = level.Warn(s.logger).Log("msg", "closing the callers' listener failed", "err", err)
	}
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, server := range servers {
		wg.Go(func() {
			if err := server.Stop(ctx); err != nil {
				_ = level.Warn(s.logger).Log("msg", "closing a server for callers failed", "err", err)
			}
		})
	}
	wg.Wait()
}

// connListener is the net.Listener of one http.Server. It returns the connections sent
// on conns.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	// done is closed when the listener is closed.
	done chan struct{}
	once sync.Once
}

// Accept implements net.Listener.
func (cl *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-cl.conns:
		return conn, nil
	case <-cl.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (cl *connListener) Close() error {
	cl.stop()
	return nil
}

func (cl *connListener) stop() { cl.once.Do(func() { close(cl.done) }) }

// Addr implements net.Listener.
func (cl *connListener) Addr() net.Addr { return cl.address }
