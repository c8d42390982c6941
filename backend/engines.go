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

// Attempt is one try of a completion at one group.
type Attempt struct {
	// ID is random and used for one attempt only.
	ID string
	// Address is that of the group's rank 0.
	Address      string
	Group        string
	Generation   fleet.Generation
	Organisation string
	Priority     int
	// Deadline is sent as the time left, because clocks differ.
	Deadline time.Time
	// From is the number of tokens that the request's body resumes from.
	From int
	// Body is the JSON request.
	Body []byte
}

// Engines is the client of model engines. It is safe for concurrent use.
type Engines struct {
	control *http.Transport
	data    *http.Transport
}

// NewEngines returns a client that counts its bytes in registry, those of
// probes and commands apart from those of completions.
func NewEngines(registry metrics.Registry) *Engines {
	return &Engines{
		control: newTransport(registry, "engine.control"),
		data:    newTransport(registry, "engine.data"),
	}
}

// Status asks the engine at address for its report.
func (e *Engines) Status(ctx context.Context, address string) (fleet.Report, error) {
	return readReport(e.control, newRequest(ctx, http.MethodGet, address, "/v1/status", nil))
}

// Command sends order to the engine at address. The error is a *FencedError
// when the engine has seen a newer generation.
func (e *Engines) Command(ctx context.Context, address string, order fleet.Order) (fleet.Report, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return fleet.Report{}, fmt.Errorf("encode order: %w", err)
	}
	request := newRequest(ctx, http.MethodPut, address, "/v1/role", body)
	request.Header.Set("Content-Type", "application/json")
	report, err := readReport(e.control, request)
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusConflict {
		return report, &FencedError{Address: address, Generation: order.Generation}
	}
	return report, err
}

// Cancel tells the engine at address that nobody waits for the attempt.
func (e *Engines) Cancel(ctx context.Context, address, attempt string) error {
	response, err := roundTrip(e.control, newRequest(ctx, http.MethodDelete, address, "/v1/attempts/"+attempt, nil))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Complete sends one attempt and returns its stream once the echoed headers
// prove that the answer belongs to it.
func (e *Engines) Complete(ctx context.Context, a Attempt) (Stream, error) {
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
	if err := checkAnswer(response, request.Header, a.ID); err != nil {
		cancel()
		response.Body.Close()
		return nil, err
	}
	return newStream(ctx, cancel, response.Body, a), nil
}

// checkAnswer compares the echoed headers with those that were sent.
func checkAnswer(response *http.Response, sent http.Header, attempt string) error {
	if e := refusal(response, attempt); e != nil {
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
			"engine answered with status %d", response.StatusCode)
	}
	for _, name := range []string{HeaderGroup, HeaderGeneration, HeaderOrganisation} {
		if echoed.Get(name) != sent.Get(name) {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonWrongAnswer, "answer has another %s", name)
		}
	}
	return nil
}
