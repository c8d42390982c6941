package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxReportBytes is the largest body of a response with a report or an error.
const maxReportBytes = 64 << 10

// FencedError means that an engine refused a command because its generation, the fencing
// token, is older than one that the engine has seen.
type FencedError struct {
	Address    string
	Generation fleet.Generation
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("engine %s refused the command: it has seen a newer generation than %d", e.Address, e.Generation)
}

// newRequest returns a request with as few header bytes as possible. The empty
// User-Agent keeps net/http from adding its own.
func newRequest(ctx context.Context, method, address, path string, body []byte) *http.Request {
	request := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: address, Path: path},
		Host:   address,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"User-Agent": nil},
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return request.WithContext(ctx)
}

// readReport sends request and decodes the report in the response.
func readReport(transport http.RoundTripper, request *http.Request) (fleet.Report, error) {
	var report fleet.Report
	response, err := roundTrip(transport, request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	data, err := readBody(response, maxReportBytes)
	if err != nil {
		return report, err
	}
	if response.StatusCode != http.StatusOK {
		return report, &statusError{status: response.StatusCode}
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return report, verdict.New(verdict.Ran, verdict.ReasonWrongAnswer, "report is not valid").WithCause(err)
	}
	return report, nil
}

// ResponseStatus returns the status of a backend server's own response that is the cause of an
// error, or 0 if that is another one.
func ResponseStatus(err error) int {
	var status *statusError
	if errors.As(err, &status) {
		return status.status
	}
	return 0
}

// statusError means that a response had a status other than 200.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("unexpected status %d", e.status) }
