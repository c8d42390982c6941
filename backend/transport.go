package backend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// Headers of an attempt. Backend servers echo them.
const (
	HeaderAttempt      = "Rattanlanding-Attempt"
	HeaderGroup        = "Rattanlanding-Group"
	HeaderGeneration   = "Rattanlanding-Generation"
	HeaderOrganisation = "Rattanlanding-Organisation"
	HeaderPriority     = "Rattanlanding-Priority"
	HeaderDeadline     = "Rattanlanding-Deadline-Ms"
)

const (
	// dialTimeout fits between the expiry of evidence at 2.5 s and the bound of
	// 3 s for the last request to a group that lost a member. A dial that fails
	// is known not to have run, so another backend server can be tried.
	dialTimeout = 300 * time.Millisecond
	// idleConnections is the number of kept connections for each address.
	idleConnections = 32
	idleTimeout     = 90 * time.Second
	maxHeaderBytes  = 64 << 10
)

// countedConn counts bytes of a connection.
type countedConn struct {
	net.Conn
	sent, received metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Inc(int64(n))
	return n, err
}

// newTransport returns a transport whose bytes are counted under
// "backend.<name>.sent" and ".received". Compression is off: net/http would
// undo it and hide the length of the answer.
func newTransport(registry metrics.Registry, name string) *http.Transport {
	sent := metrics.GetOrRegisterCounter("backend."+name+".sent", registry)
	received := metrics.GetOrRegisterCounter("backend."+name+".received", registry)
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, sent: sent, received: received}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// roundTrip sends request without following redirects. Its error is NotRun when
// no connection was obtained: net/http writes only after GotConn, which it calls
// before RoundTrip goes on, so without it no byte can have left.
func roundTrip(transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err == nil {
		return response, nil
	}
	v := verdict.MayHaveRun
	if !connected.Load() {
		v = verdict.NotRun
	}
	return nil, failure(ctx, v, "backend server did not answer").WithCause(err)
}

// failure returns an error whose reason tells a passed deadline from a fault.
func failure(ctx context.Context, v verdict.Verdict, message string) *verdict.Error {
	if ctx.Err() == context.DeadlineExceeded && context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.New(v, verdict.ReasonDeadline, "deadline passed: %s", message)
	}
	return verdict.New(v, verdict.ReasonBackendFailed, "%s", message)
}

// refusal returns the NotRun error of an answer that carries the verdict header
// not-run, or nil. The answer must echo attempt: a refusal that belongs to
// another attempt proves nothing about this one.
func refusal(response *http.Response, attempt string) *verdict.Error {
	if response.Header.Get(HeaderAttempt) != attempt {
		return nil
	}
	if v, ok := verdict.Parse(response.Header.Get(verdict.Header)); !ok || v != verdict.NotRun {
		return nil
	}
	if response.StatusCode < http.StatusBadRequest {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonBackendFailed,
		"backend server refused the request with status %d", response.StatusCode)
}
