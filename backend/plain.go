package backend

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// MaxAnswerBytes bounds the buffered answer of a plain server.
const MaxAnswerBytes = 1 << 20

// Call is one attempt of a call to a plain server.
type Call struct {
	// ID is random and used for one attempt only.
	ID      string
	Address string
	Method  string
	// URL gives the path and query; its host is ignored.
	URL    *url.URL
	Header http.Header
	Body   []byte
}

// Answer is a whole answer of a plain server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Plain is the client of plain servers. It is safe for concurrent use.
type Plain struct {
	control *http.Transport
	kept    *http.Transport
	fresh   *http.Transport
}

// NewPlain returns a client that counts its bytes in registry.
func NewPlain(registry metrics.Registry) *Plain {
	fresh := newTransport(registry, "plain.data")
	fresh.DisableKeepAlives = true
	return &Plain{
		control: newTransport(registry, "plain.control"),
		kept:    newTransport(registry, "plain.data"),
		fresh:   fresh,
	}
}

// Status asks the plain server at address for its report.
func (p *Plain) Status(ctx context.Context, address string) (fleet.Report, error) {
	return readReport(p.control, newRequest(ctx, http.MethodGet, address, "/health", nil))
}

// Do sends a call that may be repeated. net/http may send it twice when a kept
// connection turns out to be closed.
func (p *Plain) Do(ctx context.Context, call Call) (Answer, error) {
	return do(p.kept, newCall(ctx, call), call.ID)
}

// DoOnce sends a call that must not be repeated. net/http repeats a request
// only when it fails on a kept connection, so each call has a fresh connection;
// a body without GetBody can't be sent again either.
func (p *Plain) DoOnce(ctx context.Context, call Call) (Answer, error) {
	request := newCall(ctx, call)
	request.GetBody = nil
	return do(p.fresh, request, call.ID)
}

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

func do(transport http.RoundTripper, request *http.Request, attempt string) (Answer, error) {
	response, err := roundTrip(transport, request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	if response.Header.Get(HeaderAttempt) != attempt {
		return Answer{}, wrong("answer belongs to another attempt")
	}
	if e := refusal(response, attempt); e != nil {
		return Answer{}, e
	}
	if response.StatusCode < http.StatusOK {
		return Answer{}, wrong("answer has an interim status")
	}
	body, err := readWhole(response, MaxAnswerBytes)
	if err != nil {
		return Answer{}, err
	}
	if request.Method != http.MethodHead && !digestAgrees(response.Header, body) {
		return Answer{}, wrong("the body does not agree with the answer's Content-Digest")
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// readWhole reads a body of at most limit bytes. A body that only the end of the
// connection delimits is refused, because a cut can't be told from its end.
func readWhole(response *http.Response, limit int64) ([]byte, error) {
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return nil, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonIncompleteAnswer, "answer has no length")
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
