package caller

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Defaults of Config.
const (
	DefaultAddressTimeout = 2 * time.Second
	DefaultAttempts       = 4
	DefaultRetryPause     = 50 * time.Millisecond
	DefaultAvoidFor       = 3 * time.Second
	maxRetryPause         = time.Second
	dialTimeout           = 2 * time.Second
	maxAnswerBytes        = 8 << 20
)

// Config describes a Client. Zero fields take their defaults.
type Config struct {
	// Seeds are callers' addresses of nodes ("IP:port") to ask first.
	Seeds []string
	// Key proves the caller's organisation.
	Key string
	// AddressTimeout limits one question for addresses.
	AddressTimeout time.Duration
	// Attempts bounds the tries of one request, the first included.
	Attempts int
	// RetryPause is the wait before a repeat when the refusal names none.
	RetryPause time.Duration
	// AvoidFor is how long an address that did not answer is tried last.
	AvoidFor time.Duration
}

// Client sends requests of one organisation. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
	// name spreads the callers of one organisation over the nodes.
	name string

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	failedAt  map[string]time.Time
}

// withDefaults returns c with its zero fields set.
func (c Config) withDefaults() Config {
	c.AddressTimeout = cmp.Or(c.AddressTimeout, DefaultAddressTimeout)
	c.Attempts = cmp.Or(c.Attempts, DefaultAttempts)
	c.RetryPause = cmp.Or(c.RetryPause, DefaultRetryPause)
	c.AvoidFor = cmp.Or(c.AvoidFor, DefaultAvoidFor)
	return c
}

// New returns a Client.
func New(config Config) *Client {
	config = config.withDefaults()
	return &Client{
		config:   config,
		name:     uuid.NewString(),
		failedAt: make(map[string]time.Time),
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// message is one request to any node.
type message struct {
	method string
	path   string
	header http.Header
	body   []byte
	// keyed tells that the system runs the request at most once however often
	// it is sent, so that it may be repeated after any failure.
	keyed bool
}

// send sends m until a node answers with a success, at most Attempts times. The
// caller closes the answer's body. Errors are *verdict.Error values.
func (c *Client) send(ctx context.Context, m message) (*http.Response, error) {
	var last *verdict.Error
	refusals := 0
	for attempt := range c.config.Attempts {
		if attempt > 0 && !c.pause(ctx, last) {
			break
		}
		addresses, err := c.Addresses(ctx)
		if err != nil {
			last = verdict.Of(err)
			continue
		}
		addresses = c.preferred(addresses)
		response, err := c.try(ctx, addresses[refusals%len(addresses)], m)
		if err == nil {
			return response, nil
		}
		previous := last
		last = verdict.Of(err)
		if previous != nil && previous.Verdict == verdict.MayHaveRun && last.Verdict == verdict.NotRun {
			// An earlier try may have run; a later refusal does not undo it.
			last.Verdict = verdict.MayHaveRun
		}
		if !repeatable(last, m) {
			break
		}
		if last.Verdict == verdict.NotRun && last.Cause == nil {
			// The node answered with a refusal; an address that did not answer
			// is put last by preferred.
			refusals++
		}
	}
	return nil, last
}

// repeatable tells whether a request may be sent again after err.
func repeatable(err *verdict.Error, m message) bool {
	switch err.Reason {
	case verdict.ReasonBadRequest, verdict.ReasonUnauthenticated, verdict.ReasonForbidden,
		verdict.ReasonNotFound, verdict.ReasonTooLarge, verdict.ReasonKeyReused, verdict.ReasonDeadline:
		return false
	}
	return m.keyed || err.Verdict == verdict.NotRun
}

// pause waits before a repeat and reports whether the request is still wanted.
func (c *Client) pause(ctx context.Context, last *verdict.Error) bool {
	d := c.config.RetryPause
	if last != nil && last.RetryAfter > 0 {
		d = min(last.RetryAfter, maxRetryPause)
	}
	return wait.For(ctx, d)
}

// try sends m to one node. An error says whether the request may have run: it
// has not when no connection was obtained.
func (c *Client) try(ctx context.Context, address string, m message) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}
	// A reader of unknown type has no GetBody, so net/http repeats nothing.
	var body io.Reader
	if len(m.body) > 0 {
		body = io.MultiReader(bytes.NewReader(m.body))
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), m.method, "http://"+address+m.path, body)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "request").WithCause(err)
	}
	request.ContentLength = int64(len(m.body))
	for name, values := range m.header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Key)
	response, err := c.http.Do(request)
	if err != nil {
		if ctx.Err() == nil {
			c.markFailed(address)
		}
		return nil, transportError(connected, address, err)
	}
	if response.Header.Get(verdict.Header) == "" {
		// The answer of a backend server, whatever its status.
		return response, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return nil, transportError(true, address, err)
	}
	return nil, refusal(response.StatusCode, data)
}

// transportError is the error of a request without an answer.
func transportError(connected bool, address string, err error) *verdict.Error {
	v := verdict.NotRun
	if connected {
		v = verdict.MayHaveRun
	}
	reason := verdict.ReasonBackendFailed
	if errors.Is(err, context.DeadlineExceeded) {
		reason = verdict.ReasonDeadline
	}
	return verdict.New(v, reason, "no answer from node %s", address).WithCause(err)
}
