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

	"github.com/rattanlanding/rattanlanding/internal/readall"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// DefaultAddressTimeout is the default of Config.AddressTimeout.
	DefaultAddressTimeout = 2 * time.Second
	// DefaultAttempts is the default of Config.Attempts.
	DefaultAttempts = 4
	// DefaultRetryPause is the default of Config.RetryPause.
	DefaultRetryPause = 50 * time.Millisecond
	// DefaultAvoidFor is the default of Config.AvoidFor.
	DefaultAvoidFor = 3 * time.Second
	// maxRetryPause limits the wait before a retry if a refusal has a RetryAfter.
	maxRetryPause = time.Second
	// dialTimeout limits the time to connect to a node.
	dialTimeout = 2 * time.Second
	// maxResponseBytes limits the bodies of responses that are not streamed. Longer ones
	// are truncated.
	maxResponseBytes = 8 << 20
)

// Config configures a Client. A zero field means its default.
type Config struct {
	// Seeds are the callers' addresses ("IP:port") of the nodes from which the first entry
	// addresses are fetched.
	Seeds []string
	// Key is the API key that authenticates the caller's organisation.
	Key string
	// AddressTimeout limits one request for entry addresses.
	AddressTimeout time.Duration
	// Attempts is the largest number of attempts of one request, the first included.
	Attempts int
	// RetryPause is the wait before a retry if the error has no RetryAfter.
	RetryPause time.Duration
	// AvoidFor is how long an address that did not respond is tried only after the others.
	AvoidFor time.Duration
}

// Client sends requests of one organisation. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
	// name is random. Nodes rank the entry addresses by it, which spreads the callers of
	// one organisation over the nodes.
	name string

	mu sync.Mutex
	// addresses are the cached entry addresses; they expire at expires.
	addresses []string
	expires   time.Time
	// failedAt is the time of the last failure of each address.
	failedAt map[string]time.Time
}

// withDefaults returns c with its zero fields set to their defaults.
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

// nodeRequest is a request that may be sent to any node.
type nodeRequest struct {
	method string
	path   string
	header http.Header
	body   []byte
	// idempotent is true if the system runs the request at most once however often it is
	// sent, so that it may be retried after any failure.
	idempotent bool
}

// send sends r, at most Attempts times, until a node returns the response of a backend
// server. The caller of send closes its body. Errors are *verdict.Error values.
func (c *Client) send(ctx context.Context, r nodeRequest) (*http.Response, error) {
	var lastErr *verdict.Error
	// refusals selects the address: each refusal moves on to the next one.
	refusals := 0
	for attempt := range c.config.Attempts {
		if attempt > 0 && !c.waitForRetry(ctx, lastErr) {
			break
		}
		addresses, err := c.Addresses(ctx)
		if err != nil {
			lastErr = verdict.Of(err)
			continue
		}
		addresses = c.recentFailuresLast(addresses)
		response, err := c.try(ctx, addresses[refusals%len(addresses)], r)
		if err == nil {
			return response, nil
		}
		previousErr := lastErr
		lastErr = verdict.Of(err)
		if previousErr != nil && previousErr.Verdict == verdict.MayHaveRun && lastErr.Verdict == verdict.NotRun {
			// An earlier attempt may have run, and a later refusal does not change that.
			lastErr.Verdict = verdict.MayHaveRun
		}
		if !repeatable(lastErr, r) {
			break
		}
		if lastErr.Verdict == verdict.NotRun && lastErr.Cause == nil {
			// The node responded with a refusal, so the next attempt uses another address.
			// An address without a response is put last by recentFailuresLast.
			refusals++
		}
	}
	return nil, lastErr
}

// repeatable reports whether r may be sent again after err.
func repeatable(err *verdict.Error, r nodeRequest) bool {
	switch err.Reason {
	case verdict.ReasonBadRequest, verdict.ReasonUnauthenticated, verdict.ReasonForbidden,
		verdict.ReasonNotFound, verdict.ReasonTooLarge, verdict.ReasonKeyReused, verdict.ReasonDeadline,
		verdict.ReasonRequestQuarantined:
		return false
	}
	return r.idempotent || err.Verdict == verdict.NotRun
}

// waitForRetry waits before a retry and reports whether ctx is still valid.
func (c *Client) waitForRetry(ctx context.Context, lastErr *verdict.Error) bool {
	delay := c.config.RetryPause
	if lastErr != nil && lastErr.RetryAfter > 0 {
		delay = min(lastErr.RetryAfter, maxRetryPause)
	}
	return wait.For(ctx, delay)
}

// try sends r to one node. The verdict of an error is NotRun if no connection was obtained,
// because no byte was sent then.
func (c *Client) try(ctx context.Context, address string, r nodeRequest) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}
	// net/http sets no GetBody for a reader of this type, so it can't resend the body.
	var body io.Reader
	if len(r.body) > 0 {
		body = io.MultiReader(bytes.NewReader(r.body))
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, "http://"+address+r.path, body)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "request to node %s is not valid", address).WithCause(err)
	}
	request.ContentLength = int64(len(r.body))
	for name, values := range r.header {
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
		// Without a verdict, this is the response of a backend server, whatever its status.
		return response, nil
	}
	defer response.Body.Close()
	data, err := readall.Limited(response.Body, maxNodeBodyBytes)
	if err != nil {
		return nil, transportError(true, address, err)
	}
	return nil, refusalError(response.StatusCode, data)
}

// transportError returns the error of a request that got no complete response. It may have
// run if a connection was obtained.
func transportError(connected bool, address string, err error) *verdict.Error {
	v := verdict.NotRun
	if connected {
		v = verdict.MayHaveRun
	}
	reason := verdict.ReasonBackendFailed
	if errors.Is(err, context.DeadlineExceeded) {
		reason = verdict.ReasonDeadline
	}
	return verdict.New(v, reason, "no complete response from node %s", address).WithCause(err)
}
