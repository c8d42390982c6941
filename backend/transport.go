package backend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/internal/resetconn"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Headers of an attempt. A response belongs to the attempt only if it echoes the attempt's
// identity, and from an engine also the group, the generation and the organisation.
const (
	// HeaderAttempt carries the attempt's identity.
	HeaderAttempt = "Rattanlanding-Attempt"
	// HeaderGroup carries the name of the group that the attempt is for.
	HeaderGroup = "Rattanlanding-Group"
	// HeaderGeneration carries the generation of the group that the attempt is for.
	HeaderGeneration = "Rattanlanding-Generation"
	// HeaderOrganisation carries the name of the organisation that sent the request.
	HeaderOrganisation = "Rattanlanding-Organisation"
	// HeaderPriority carries the priority of the request.
	HeaderPriority = "Rattanlanding-Priority"
	// HeaderDeadline carries the time that remains until the deadline, in milliseconds.
	HeaderDeadline = "Rattanlanding-Deadline-Ms"
)

const (
	// dialTimeout fits between the expiry of evidence after 2.5 s and the limit of 3 s
	// for the last request to a group that lost a member. An attempt whose dial fails
	// has certainly not run, so another backend server can be tried.
	dialTimeout = 300 * time.Millisecond
	// maxIdleConnections is the largest number of idle connections per address.
	maxIdleConnections = 32
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the largest size of a response header.
	maxHeaderBytes = 64 << 10
)

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	sent, received metrics.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Inc(int64(n))
	return n, err
}

// newTransport returns a transport whose bytes are counted in the metrics
// "backend.<name>.sent" and "backend.<name>.received". Compression is off, because
// net/http would decompress the response and hide its length.
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
			return &countingConn{Conn: resetconn.New(conn), sent: sent, received: received}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// roundTrip sends request without following redirects. Its error has the verdict NotRun
// if no connection was obtained: net/http calls GotConn before it writes to a connection
// and before RoundTrip goes on, so without that call no byte can have been sent.
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
	return nil, transportError(ctx, v, "backend server did not answer").WithCause(err)
}

// transportError returns an error whose reason distinguishes a deadline that passed from
// other failures.
func transportError(ctx context.Context, v verdict.Verdict, message string) *verdict.Error {
	if ctx.Err() == context.DeadlineExceeded && context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.New(v, verdict.ReasonDeadline, "deadline passed: %s", message)
	}
	return verdict.New(v, verdict.ReasonBackendFailed, "%s", message)
}

// refusalError returns the NotRun error of a response that carries the verdict header
// not-run, or nil. The response must echo attempt: a refusal of another attempt proves
// nothing about this one.
func refusalError(response *http.Response, attempt string) *verdict.Error {
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
