package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// MaxResponseBytes is the largest response body of a plain server. Bodies are buffered.
const MaxResponseBytes = 1 << 20

// Call is one attempt at a call to a plain server.
type Call struct {
	// ID is random and unique to the attempt.
	ID      string
	Address string
	Method  string
	// URL gives the path and query; its host is ignored.
	URL    *url.URL
	Header http.Header
	Body   []byte
	// Hold is the memory for the response, which the caller releases; nil means no limit.
	Hold *memory.Hold
}

// Response is a complete response of a plain server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// PlainClient is an HTTP client for plain servers. It is safe for concurrent use.
type PlainClient struct {
	// control carries status requests.
	control *http.Transport
	// pooled carries calls that may be repeated and reuses connections.
	pooled *http.Transport
	// unpooled carries calls that must not be repeated, each on a new connection.
	unpooled *http.Transport
}

// NewPlainClient returns a client that counts the bytes of its connections in registry.
func NewPlainClient(registry metrics.Registry) *PlainClient {
	unpooled := newTransport(registry, "plain.data")
	unpooled.DisableKeepAlives = true
	return &PlainClient{
		control:  newTransport(registry, "plain.control"),
		pooled:   newTransport(registry, "plain.data"),
		unpooled: unpooled,
	}
}

// Status fetches the report of the plain server at address.
func (p *PlainClient) Status(ctx context.Context, address string) (fleet.Report, error) {
	return readReport(p.control, newRequest(ctx, http.MethodGet, address, "/health", nil))
}

// Do sends a call that may be repeated. net/http may send it twice if a kept-alive
// connection turns out to be closed.
func (p *PlainClient) Do(ctx context.Context, call Call) (Response, error) {
	return do(p.pooled, newCall(ctx, call), call)
}

// DoOnce sends a call that must not be repeated. net/http resends a request only if it
// fails on a kept-alive connection, so each call uses a new connection. A body without
// GetBody can't be sent again either.
func (p *PlainClient) DoOnce(ctx context.Context, call Call) (Response, error) {
	request := newCall(ctx, call)
	request.GetBody = nil
	return do(p.unpooled, request, call)
}

// newCall returns the HTTP request for call.
func newCall(ctx context.Context, call Call) *http.Request {
	request := newRequest(ctx, call.Method, call.Address, "/", call.Body)
	if call.URL != nil {
		request.URL.Path, request.URL.RawPath = call.URL.Path, call.URL.RawPath
		request.URL.RawQuery, request.URL.ForceQuery = call.URL.RawQuery, call.URL.ForceQuery
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(HeaderAttempt, call.ID)
	return request
}

// do sends request and returns the response if it belongs to the call's attempt and is
// complete.
func do(transport http.RoundTripper, request *http.Request, call Call) (Response, error) {
	attempt := call.ID
	response, err := roundTrip(transport, request)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if response.Header.Get(HeaderAttempt) != attempt {
		return Response{}, wrongAnswerError("answer belongs to another attempt")
	}
	if e := refusalError(response, attempt); e != nil {
		return Response{}, e
	}
	if response.StatusCode < http.StatusOK {
		return Response{}, wrongAnswerError("answer has an interim status")
	}
	body, err := readHeldBody(response, MaxResponseBytes, call.Hold)
	if err != nil {
		return Response{}, err
	}
	if request.Method != http.MethodHead && !digestMatches(response.Header, body) {
		return Response{}, wrongAnswerError("the body does not agree with the answer's Content-Digest")
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// maxMemoryWait is the longest time that a response waits for memory.
const maxMemoryWait = 2 * time.Second

// readHeldBody reads a response body as readBody does, with the memory of a hold.
func readHeldBody(response *http.Response, limit int64, hold *memory.Hold) ([]byte, error) {
	if hold == nil || response.Request != nil && response.Request.Method == http.MethodHead {
		return readBody(response, limit)
	}
	buffer := memory.NewBuffer(hold)
	err := buffer.Fill(response.Body, limit, func() time.Duration { return maxMemoryWait })
	var body []byte
	if err == nil {
		body, err = buffer.Join(maxMemoryWait)
	}
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, memory.ErrTooLarge):
		err = verdict.New(verdict.Ran, verdict.ReasonIncompleteAnswer, "answer is over %d bytes", limit)
	case errors.Is(err, memory.ErrNoMemory):
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonOverloaded, "this node has no memory for the answer").WithCause(err)
	default:
		err = verdict.New(verdict.MayHaveRun, verdict.ReasonIncompleteAnswer, "answer was cut").WithCause(err)
	}
	buffer.Release()
	return nil, err
}

// readBody reads a response body of at most limit bytes. A body with neither a length nor
// chunks is complete when its connection is closed, not if it is reset.
func readBody(response *http.Response, limit int64) ([]byte, error) {
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonIncompleteAnswer, "answer was cut").WithCause(err)
	}
	if int64(len(body)) > limit {
		return nil, verdict.New(verdict.Ran, verdict.ReasonIncompleteAnswer, "answer is over %d bytes", limit)
	}
	return body, nil
}
