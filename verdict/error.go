package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Header is the HTTP header that carries the verdict of an error answer.
const Header = "Rattanlanding-Verdict"

// Reason is a stable machine-readable code for the cause of an Error.
type Reason string

// Reasons of errors that reach callers and operators.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonForbidden        Reason = "forbidden"
	ReasonNotFound         Reason = "not-found"
	ReasonTooLarge         Reason = "too-large"
	ReasonConflict         Reason = "conflict"
	ReasonKeyReused        Reason = "idempotency-key-reused"
	ReasonInProgress       Reason = "in-progress"
	ReasonOutcomeUnknown   Reason = "outcome-unknown"
	ReasonNoHealthyGroup   Reason = "no-healthy-group"
	ReasonNoServer         Reason = "no-backend-server"
	ReasonOverloaded       Reason = "overloaded"
	ReasonLimitExceeded    Reason = "limit-exceeded"
	ReasonDeadline         Reason = "deadline-exceeded"
	ReasonUnconfirmed      Reason = "configuration-unconfirmed"
	ReasonDraining         Reason = "draining"
	ReasonPlatform         Reason = "platform-unavailable"
	ReasonBackendFailed    Reason = "backend-failed"
	ReasonIncompleteAnswer Reason = "incomplete-answer"
	ReasonWrongAnswer      Reason = "wrong-answer"
	ReasonInternal         Reason = "internal"
)

// statusByReason maps each reason to the HTTP status of its answer.
var statusByReason = map[Reason]int{
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonUnauthenticated:  http.StatusUnauthorized,
	ReasonForbidden:        http.StatusForbidden,
	ReasonNotFound:         http.StatusNotFound,
	ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	ReasonConflict:         http.StatusConflict,
	ReasonKeyReused:        http.StatusUnprocessableEntity,
	ReasonInProgress:       http.StatusConflict,
	ReasonOutcomeUnknown:   http.StatusConflict,
	ReasonNoHealthyGroup:   http.StatusServiceUnavailable,
	ReasonNoServer:         http.StatusServiceUnavailable,
	ReasonOverloaded:       http.StatusServiceUnavailable,
	ReasonLimitExceeded:    http.StatusTooManyRequests,
	ReasonDeadline:         http.StatusGatewayTimeout,
	ReasonUnconfirmed:      http.StatusServiceUnavailable,
	ReasonDraining:         http.StatusServiceUnavailable,
	ReasonPlatform:         http.StatusServiceUnavailable,
	ReasonBackendFailed:    http.StatusBadGateway,
	ReasonIncompleteAnswer: http.StatusBadGateway,
	ReasonWrongAnswer:      http.StatusBadGateway,
	ReasonInternal:         http.StatusInternalServerError,
}

// Error is the error type of everything that reaches a caller or an operator.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the stable code of the cause.
	Reason Reason
	// Message explains the cause to a person.
	Message string
	// Field names the offending input field or entry, where there is one.
	Field string
	// RetryAfter is the time to wait before a new try; 0 means no advice.
	RetryAfter time.Duration
	// Cause is the underlying error, kept out of the wire form.
	Cause error
}

// New returns an Error with a formatted message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// BadField returns a NotRun error for an input field that was refused.
func BadField(field, format string, args ...any) *Error {
	e := New(NotRun, ReasonBadRequest, format, args...)
	e.Field = field
	return e
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Message
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return fmt.Sprintf("%s (%s, %s)", text, e.Reason, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.Cause = cause
	return &c
}

// WithRetryAfter returns a copy of e that advises the caller to wait d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Status returns the HTTP status code for the error.
func (e *Error) Status() int {
	if status, ok := statusByReason[e.Reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Of returns the *Error in err's chain. An err without one becomes an internal
// error with verdict MayHaveRun, because nothing is known about it.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonInternal, "unexpected error").WithCause(err)
}
