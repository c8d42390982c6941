package object

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/internal/readall"
)

const (
	// DefaultTimeout limits one request to the platform. The wait of a watch is added to
	// it.
	DefaultTimeout = 2 * time.Second
	// dialTimeout leaves enough of the timeout to try another address.
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes limits the memory for one response, in bytes. It fits a list of 64
	// objects of the largest size in base64.
	maxResponseBytes = 96 << 20
)

// ClientConfig configures the clients of the platform.
type ClientConfig struct {
	// Addresses are the platform's addresses, each "IP:port". A request is sent to the
	// address that responded last, and then to the others if it fails.
	Addresses []string
	// Timeout limits one request; 0 means DefaultTimeout.
	Timeout time.Duration
	// Registry receives counters "platform.calls.<operation>" and
	// "platform.failures.<operation>"; nil means no metrics.
	Registry metrics.Registry
}

// withDefaults returns c with its zero fields set to their defaults.
func (c ClientConfig) withDefaults() ClientConfig {
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Registry = cmp.Or(c.Registry, metrics.NewRegistry())
	return c
}

// FailoverClient sends requests to the platform's addresses in turn and classifies
// failures.
//
// net/http must never send a write twice, because a repeated conditional write would find
// the effect of the first one and be refused with a false conflict. Three settings ensure
// this: requests have no GetBody and no Idempotency-Key, which rules out a resend after a
// kept-alive connection broke; redirects are not followed; and the protocol is HTTP/1
// only, which rules out a resend of HTTP/2 streams. A write is sent to the next address
// only if the previous one certainly did not process it.
type FailoverClient struct {
	addresses []string
	timeout   time.Duration
	registry  metrics.Registry
	client    *http.Client
	// preferred is the index of the address that the next request tries first.
	preferred atomic.Uint64
}

// Request is a request to the platform.
type Request struct {
	// Op names the operation in metrics.
	Op     string
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Wait is the time that the platform may delay its response to a watch.
	Wait time.Duration
}

// Response is a response of the platform with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NewFailoverClient returns a client for the configured addresses.
func NewFailoverClient(config ClientConfig) *FailoverClient {
	config = config.withDefaults()
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
		Protocols:           &protocols,
	}
	return &FailoverClient{
		addresses: config.Addresses,
		timeout:   config.Timeout,
		registry:  config.Registry,
		client: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Close closes idle connections.
func (c *FailoverClient) Close() { c.client.CloseIdleConnections() }

// Do sends a request. The error is ErrUnavailable if the request certainly had no effect,
// and for every failure of a read. It is ErrAmbiguous if a write may have taken effect.
func (c *FailoverClient) Do(ctx context.Context, request Request) (Response, error) {
	metrics.GetOrRegisterCounter("platform.calls."+request.Op, c.registry).Inc(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout+request.Wait)
	defer cancel()
	response, err := c.tryAddresses(ctx, request)
	if err != nil {
		metrics.GetOrRegisterCounter("platform.failures."+request.Op, c.registry).Inc(1)
	}
	return response, err
}

// tryAddresses sends the request to each address in turn until one responds or a write may
// have taken effect.
func (c *FailoverClient) tryAddresses(ctx context.Context, request Request) (Response, error) {
	if len(c.addresses) == 0 {
		return Response{}, unavailableError(errors.New("no platform address is configured"))
	}
	first := c.preferred.Load()
	var lastErr error
	for i := range uint64(len(c.addresses)) {
		index := (first + i) % uint64(len(c.addresses))
		response, err := c.send(ctx, c.addresses[index], request)
		if err == nil {
			c.preferred.Store(index)
			return response, nil
		}
		lastErr = err
		if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
			break
		}
	}
	// The next request starts with another address, so that an address that hangs does
	// not use up the timeout of every request.
	c.preferred.CompareAndSwap(first, (first+1)%uint64(len(c.addresses)))
	return Response{}, lastErr
}

// send sends the request to one address.
func (c *FailoverClient) send(ctx context.Context, address string, request Request) (Response, error) {
	// If no connection was obtained, no byte was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	fail := func(err error) (Response, error) {
		if request.Method == http.MethodGet || !connected.Load() {
			return Response{}, unavailableError(err)
		}
		return Response{}, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return fail(err)
	}
	httpRequest.GetBody = nil
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	httpResponse, err := c.client.Do(httpRequest)
	if err != nil {
		return fail(err)
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode == http.StatusServiceUnavailable {
		return Response{}, unavailableError(errors.New("platform answered 503"))
	}
	body, err := readall.Limited(httpResponse.Body, maxResponseBytes)
	if err != nil {
		return fail(err)
	}
	return Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body}, nil
}

// unavailableError returns an ErrUnavailable that wraps cause.
func unavailableError(cause error) error { return fmt.Errorf("%w: %w", ErrUnavailable, cause) }
