package verdict

import (
	"encoding/json"
	"time"
)

// Body is the JSON body of an error answer.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of an error answer.
type Detail struct {
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason"`
	Message string  `json:"message"`
	Field   string  `json:"field,omitempty"`
	// RetryAfterMs is the time to wait before a new try, in milliseconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Request is the identity of the request, for log lookups.
	Request string `json:"request,omitempty"`
}

// Body returns the wire form of e for the given request identity. The cause is
// left out because it may name internal addresses.
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

// ParseBody reads an error answer. The second result is false when data is not
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
