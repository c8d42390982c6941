package object

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// DefaultTimeout limits one call to the platform; a watch's waiting time is
	// added to it.
	DefaultTimeout = 2 * time.Second
	// dialTimeout leaves time for another address within one call.
	dialTimeout = 500 * time.Millisecond
	// maxAnswer bounds the memory for one answer, in bytes. It has room for a
	// kind of 64 objects of the largest size in base64.
	maxAnswer = 96 << 20
)

// ClientConfig configures the clients of the platform.
type ClientConfig struct {
	// Addresses are the platform's addresses, each "IP:port". A call uses the
	// address that answered last and then the others.
	Addresses []string
	// Timeout limits one call; 0 means DefaultTimeout.
	Timeout time.Duration
	// Registry receives counters "platform.calls.<operation>" and
	// "platform.failures.<operation>"; nil means no metrics.
	Registry metrics.Registry
}

// withDefaults returns c with its zero fields set.
func (c ClientConfig) withDefaults() ClientConfig {
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Registry = cmp.Or(c.Registry, metrics.NewRegistry())
	return c
}

// Endpoints sends calls to the platform and classifies failures.
//
// No write is ever sent twice by net/http, because a repeated conditional write
// would find its own first effect and be refused as a false conflict. Three
// settings ensure this: requests have no GetBody and no Idempotency-Key, which
// excludes the resend on a broken kept-alive connection; redirects are not
// followed; and the protocol is HTTP/1 only, which excludes the resend of
// HTTP/2 streams. The next address is tried for a write only when the previous
// one certainly did not process it.
type Endpoints struct {
	addresses []string
	timeout   time.Duration
	registry  metrics.Registry
	client    *http.Client
	preferred atomic.Uint64
}

// Call is one request to the platform.
type Call struct {
	// Op names the operation in metrics.
	Op     string
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Wait is the time the platform may hold the call back.
	Wait time.Duration
}

// Answer is a response of the platform with its whole body.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// NewEndpoints returns a caller of the configured addresses.
func NewEndpoints(cfg ClientConfig) *Endpoints {
	cfg = cfg.withDefaults()
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
		Protocols:           &protocols,
	}
	return &Endpoints{
		addresses: cfg.Addresses,
		timeout:   cfg.Timeout,
		registry:  cfg.Registry,
		client: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Close closes idle connections.
func (e *Endpoints) Close() { e.client.CloseIdleConnections() }

// Do sends a call. The error is ErrUnavailable where the call certainly had no
// effect, and for every failure of a read; it is ErrAmbiguous where a write may
// have taken effect.
func (e *Endpoints) Do(ctx context.Context, call Call) (Answer, error) {
	metrics.GetOrRegisterCounter("platform.calls."+call.Op, e.registry).Inc(1)
	ctx, cancel := context.WithTimeout(ctx, e.timeout+call.Wait)
	defer cancel()
	answer, err := e.tryAll(ctx, call)
	if err != nil {
		metrics.GetOrRegisterCounter("platform.failures."+call.Op, e.registry).Inc(1)
	}
	return answer, err
}

func (e *Endpoints) tryAll(ctx context.Context, call Call) (Answer, error) {
	if len(e.addresses) == 0 {
		return Answer{}, unavailable(errors.New("no platform address is configured"))
	}
	first := e.preferred.Load()
	var last error
	for i := range uint64(len(e.addresses)) {
		index := (first + i) % uint64(len(e.addresses))
		answer, err := e.try(ctx, e.addresses[index], call)
		if err == nil {
			e.preferred.Store(index)
			return answer, nil
		}
		last = err
		if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
			break
		}
	}
	// The next call starts at another address, so that one that hangs does not
	// use up the time of every call.
	e.preferred.CompareAndSwap(first, (first+1)%uint64(len(e.addresses)))
	return Answer{}, last
}

// try sends the call to one address.
func (e *Endpoints) try(ctx context.Context, address string, call Call) (Answer, error) {
	// Without a connection no byte was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	failed := func(err error) (Answer, error) {
		if call.Method == http.MethodGet || !connected.Load() {
			return Answer{}, unavailable(err)
		}
		return Answer{}, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return failed(err)
	}
	request.GetBody = nil
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	response, err := e.client.Do(request)
	if err != nil {
		return failed(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		return Answer{}, unavailable(errors.New("platform answered 503"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil && call.Method == http.MethodGet {
		return failed(err)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func unavailable(cause error) error { return fmt.Errorf("%w: %w", ErrUnavailable, cause) }
