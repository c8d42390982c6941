package verdict

import (
	"encoding/json"
	"time"
)

// Body is the JSON body of an error response.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes the error in a Body.
type Detail struct {
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason"`
	Message string  `json:"message"`
	Field   string  `json:"field,omitempty"`
	// RetryAfterMs is the time to wait before a retry, in milliseconds; 0 means no advice.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Request is the identity of the request, by which it can be found in logs.
	Request string `json:"request,omitempty"`
}

// Body returns the body of the error response for the request with the given identity. It
// does not include the cause, which may contain internal addresses.
func (e *Error) Body(request string) Body {
	return Body{Error: Detail{
		Verdict:      e.Verdict,
		Reason:       e.Reason,
		Message:      e.Message,
		Field:        e.Field,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Request:      request,
	}}
}

// ParseBody parses the body of an error response. The second result is false if data is not
// one.
func ParseBody(data []byte) (*Error, bool) {
	var b Body
	if err := json.Unmarshal(data, &b); err != nil || b.Error.Verdict == 0 {
		return nil, false
	}
	return &Error{
		Verdict:    b.Error.Verdict,
		Reason:     b.Error.Reason,
		Message:    b.Error.Message,
		Field:      b.Error.Field,
		RetryAfter: time.Duration(b.Error.RetryAfterMs) * time.Millisecond,
	}, true
}
