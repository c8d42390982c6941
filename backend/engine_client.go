package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Attempt is one attempt at a completion, sent to one group.
type Attempt struct {
	// ID is random and unique to the attempt.
	ID string
	// Address is the address of the engine with rank 0 in the group.
	Address      string
	Group        string
	Generation   fleet.Generation
	Organisation string
	Priority     int
	// Deadline is sent as the remaining time, because clocks differ. Zero means none.
	Deadline time.Time
	// From is the number of tokens that were already delivered. Body makes the engine
	// continue after them.
	From int
	// Body is the JSON request body.
	Body []byte
}

// EngineClient is an HTTP client for model engines. It is safe for concurrent use.
type EngineClient struct {
	// control carries probes, commands and cancels, data carries completions. Their
	// bytes are counted separately.
	control *http.Transport
	data    *http.Transport
}

// NewEngineClient returns a client that counts the bytes of its connections in
// registry.
func NewEngineClient(registry metrics.Registry) *EngineClient {
	return &EngineClient{
		control: newTransport(registry, "engine.control"),
		data:    newTransport(registry, "engine.data"),
	}
}

// Status fetches the report of the engine at address.
func (e *EngineClient) Status(ctx context.Context, address string) (fleet.Report, error) {
	return readReport(e.control, newRequest(ctx, http.MethodGet, address, "/v1/status", nil))
}

// Command sends command to the engine at address and returns the report in its response.
// The error is a *FencedError if the engine has seen a newer generation.
func (e *EngineClient) Command(ctx context.Context, address string, command fleet.Command) (fleet.Report, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return fleet.Report{}, fmt.Errorf("encode command: %w", err)
	}
	request := newRequest(ctx, http.MethodPut, address, "/v1/role", body)
	request.Header.Set("Content-Type", "application/json")
	report, err := readReport(e.control, request)
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusConflict {
		return report, &FencedError{Address: address, Generation: command.Generation}
	}
	return report, err
}

// Cancel makes the engine at address abandon the attempt with the given identity.
func (e *EngineClient) Cancel(ctx context.Context, address, attempt string) error {
	response, err := roundTrip(e.control, newRequest(ctx, http.MethodDelete, address, "/v1/attempts/"+attempt, nil))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Complete sends one attempt. It returns the response as a stream after checking by the
// echoed headers that the response belongs to the attempt.
func (e *EngineClient) Complete(ctx context.Context, a Attempt) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	request := newRequest(ctx, http.MethodPost, a.Address, "/v1/completions", a.Body)
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set(HeaderAttempt, a.ID)
	h.Set(HeaderGroup, a.Group)
	h.Set(HeaderGeneration, strconv.FormatUint(uint64(a.Generation), 10))
	h.Set(HeaderOrganisation, a.Organisation)
	h.Set(HeaderPriority, strconv.Itoa(a.Priority))
	if !a.Deadline.IsZero() {
		h.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(a.Deadline).Milliseconds(), 0), 10))
	}
	response, err := roundTrip(e.data, request)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := checkResponse(response, request.Header, a.ID); err != nil {
		cancel()
		response.Body.Close()
		return nil, err
	}
	return newStream(ctx, cancel, response.Body, a), nil
}

// checkResponse returns an error for a response that refuses the attempt, has an
// unexpected status, or does not echo the headers that were sent.
func checkResponse(response *http.Response, sent http.Header, attempt string) error {
	if e := refusalError(response, attempt); e != nil {
		return e
	}
	echoed := response.Header
	if echoed.Get(HeaderAttempt) != attempt {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonWrongAnswer, "answer belongs to another attempt")
	}
	if response.StatusCode == http.StatusConflict {
		return verdict.New(verdict.NotRun, verdict.ReasonBackendFailed, "engine is not in the expected group")
	}
	if response.StatusCode != http.StatusOK {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed,
			"engine answered with an error").WithCause(&statusError{response.StatusCode})
	}
	for _, name := range []string{HeaderGroup, HeaderGeneration, HeaderOrganisation} {
		if echoed.Get(name) != sent.Get(name) {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonWrongAnswer, "answer has another %s", name)
		}
	}
	return nil
}
