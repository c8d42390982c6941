package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxReportBytes bounds a report or an error body.
const maxReportBytes = 64 << 10

// FencedError is the refusal of an order with an old fencing token.
type FencedError struct {
	Address    string
	Generation fleet.Generation
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("engine %s refused generation %d as old", e.Address, e.Generation)
}

// newRequest returns a request with as few header bytes as possible: an empty
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

// readReport sends request and reads the report in its answer.
func readReport(transport http.RoundTripper, request *http.Request) (fleet.Report, error) {
	var report fleet.Report
	response, err := roundTrip(transport, request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	data, err := readWhole(response, maxReportBytes)
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

// statusError is an answer with an unexpected status.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.status) }
