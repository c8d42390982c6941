package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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

const (
	// readHeaderBytes is the size of a header that is read whatever the limit. The limit is
	// checked for each request, so that a new one applies to open connections.
	readHeaderBytes = 256 << 10
	// headerSlack is the size by which a header may exceed the limit, as in net/http.
	headerSlack = 4 << 10
)

// callerServer serves callers on one listener. The timeouts of an http.Server can't be
// changed while it runs, so new ones start a new http.Server, which gets the connections
// accepted from then on. Those of the earlier server are closed after their next response.
type callerServer struct {
	handler  http.Handler
	listener net.Listener
	limiter  *connlimit.Limiter
	logger   log.Logger
	// accepted is closed when no more connections are accepted.
	accepted chan struct{}

	// maxHeaderBytes is the limit of the header of a request.
	maxHeaderBytes atomic.Int64

	mu     sync.Mutex
	limits serverLimits
	// outdated is set once the newest server was replaced.
	outdated *atomic.Bool
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

// serverLimits are the limits that an http.Server enforces.
type serverLimits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

// applyLimits applies new limits, also to open connections. It starts another server if
// the server's own limits change.
func (s *callerServer) applyLimits(limits catalog.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxHeader := orDefault(limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	s.maxHeaderBytes.Store(int64(maxHeader))
	own := serverLimits{headerBytes: max(maxHeader, readHeaderBytes), headerTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		idleTimeout: orDefault(limits.IdleTimeout, defaultIdleTimeout)}
	if s.current != nil && own == s.limits {
		return
	}
	outdated := new(atomic.Bool)
	server := httpdrain.NewServer(&http.Server{
		Handler:           s.limitHeader(outdated),
		ConnContext:       s.limiter.ConnContext,
		MaxHeaderBytes:    own.headerBytes,
		ReadHeaderTimeout: own.headerTimeout,
		IdleTimeout:       own.idleTimeout,
	})
	if s.current != nil {
		s.current.stop()
		s.outdated.Store(true)
	}
	s.limits, s.outdated = own, outdated
	s.current = &connListener{address: s.listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	s.servers = append(s.servers, server)
	current := s.current
	go func() { _ = server.Serve(current) }()
}

// limitHeader returns a handler that refuses requests with a header above the limit, and
// closes the connections of a server that is outdated after their next response.
func (s *callerServer) limitHeader(outdated *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, limit := headerBytes(r), s.maxHeaderBytes.Load()
		tooLarge := size > limit+headerSlack
		if tooLarge || outdated.Load() {
			w.Header().Set("Connection", "close")
		}
		if tooLarge {
			http.Error(w, fmt.Sprintf("header: %d bytes, at most %d are allowed", size, limit), http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		s.handler.ServeHTTP(w, r)
	})
}

// headerBytes returns the size of the first line and the header fields of a request, as
// they are usually sent.
func headerBytes(r *http.Request) int64 {
	const lineEnd, separator = 2, 2
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
	}
	return int64(size)
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
