package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Header is the HTTP header that carries the verdict of an error response.
const Header = "Rattanlanding-Verdict"

// Reason is a stable, machine-readable code of the cause of an Error.
type Reason string

// Reasons of errors that reach callers and operators.
const (
	// ReasonBadRequest means that the input is not valid.
	ReasonBadRequest Reason = "bad-request"
	// ReasonUnauthenticated means that the key is missing or unknown.
	ReasonUnauthenticated Reason = "unauthenticated"
	// ReasonForbidden means that the key does not permit the request.
	ReasonForbidden Reason = "forbidden"
	// ReasonNotFound means that the requested service, route or path does not exist.
	ReasonNotFound Reason = "not-found"
	// ReasonTooLarge means that the request's body exceeds the limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonConflict means that a change conflicts with the current configuration.
	ReasonConflict Reason = "conflict"
	// ReasonKeyReused means that the idempotency key was used for a different request.
	ReasonKeyReused Reason = "idempotency-key-reused"
	// ReasonInProgress means that an earlier call with the same idempotency key has not
	// finished.
	ReasonInProgress Reason = "in-progress"
	// ReasonOutcomeUnknown means that the outcome of this or an earlier request is not
	// known, or that its response was not stored.
	ReasonOutcomeUnknown Reason = "outcome-unknown"
	// ReasonNoHealthyGroup means that no group may receive the request.
	ReasonNoHealthyGroup Reason = "no-healthy-group"
	// ReasonNoServer means that no backend server or node may receive the request.
	ReasonNoServer Reason = "no-backend-server"
	// ReasonOverloaded means that the node, the service or a store has no capacity left.
	ReasonOverloaded Reason = "overloaded"
	// ReasonLimitExceeded means that the organisation has used up its limit.
	ReasonLimitExceeded Reason = "limit-exceeded"
	// ReasonDeadline means that the request's deadline passed.
	ReasonDeadline Reason = "deadline-exceeded"
	// ReasonUnconfirmed means that the node's configuration may be outdated.
	ReasonUnconfirmed Reason = "configuration-unconfirmed"
	// ReasonDraining means that the node is shutting down.
	ReasonDraining Reason = "draining"
	// ReasonQuarantined means that the prompt contains a part under which engines crashed.
	ReasonQuarantined Reason = "prompt-quarantined"
	// ReasonRequestQuarantined means that engines crashed while they ran the same request.
	ReasonRequestQuarantined Reason = "request-quarantined"
	// ReasonPlatform means that the platform is needed but not available.
	ReasonPlatform Reason = "platform-unavailable"
	// ReasonBackendFailed means that the backend server refused, failed or did not respond.
	ReasonBackendFailed Reason = "backend-failed"
	// ReasonIncompleteAnswer means that the response of the backend server is truncated.
	ReasonIncompleteAnswer Reason = "incomplete-answer"
	// ReasonWrongAnswer means that the response of the backend server is invalid or belongs
	// to another request.
	ReasonWrongAnswer Reason = "wrong-answer"
	// ReasonInternal means that an internal error occurred.
	ReasonInternal Reason = "internal"
)

// statusByReason maps each reason to the HTTP status of its error response.
var statusByReason = map[Reason]int{
	ReasonBadRequest:      http.StatusBadRequest,
	ReasonUnauthenticated: http.StatusUnauthorized,
	ReasonForbidden:       http.StatusForbidden,
	ReasonNotFound:        http.StatusNotFound,
	ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	ReasonConflict:        http.StatusConflict,
	ReasonKeyReused:       http.StatusUnprocessableEntity,
	ReasonInProgress:      http.StatusConflict,
	ReasonOutcomeUnknown:  http.StatusConflict,
	ReasonNoHealthyGroup:  http.StatusServiceUnavailable,
	ReasonNoServer:        http.StatusServiceUnavailable,
	ReasonOverloaded:      http.StatusServiceUnavailable,
	ReasonLimitExceeded:   http.StatusTooManyRequests,
	ReasonDeadline:        http.StatusGatewayTimeout,
	ReasonUnconfirmed:     http.StatusServiceUnavailable,
	ReasonDraining:        http.StatusServiceUnavailable,
	ReasonQuarantined:     http.StatusServiceUnavailable,
	// The request is to blame, and a retry with another engine would harm that as well.
	ReasonRequestQuarantined: http.StatusUnprocessableEntity,
	ReasonPlatform:           http.StatusServiceUnavailable,
	ReasonBackendFailed:      http.StatusBadGateway,
	ReasonIncompleteAnswer:   http.StatusBadGateway,
	ReasonWrongAnswer:        http.StatusBadGateway,
	ReasonInternal:           http.StatusInternalServerError,
}

// Error is the type of all errors that reach a caller or an operator.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the code of the cause.
	Reason Reason
	// Message explains the cause to a human reader.
	Message string
	// Field is the name of the invalid input field or entry, if there is one.
	Field string
	// RetryAfter is the time to wait before a retry; 0 means no advice.
	RetryAfter time.Duration
	// Cause is the underlying error. It is not part of the error response.
	Cause error
}

// New returns an Error with a formatted message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// BadField returns a NotRun error for an invalid input field.
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

// WithRetryAfter returns a copy of e that advises the caller to retry after d.
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

// Of returns the first *Error in err's chain. If there is none, it returns an internal error
// with verdict MayHaveRun that wraps err, because it is not known whether the request ran.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonInternal, "unexpected error").WithCause(err)
}
