package forward

import (
	"net/http"
	"time"

	"github.com/rattanlanding/rattanlanding/throttle"
)

// Meta is the metadata in the headers of a request.
type Meta struct {
	// ID identifies the request and is echoed in its response.
	ID    string
	Model string
	// LastEventID is the ID of the last event that the caller received of an earlier
	// response.
	LastEventID string
	// Key is the caller's key.
	Key    string
	HasKey bool
	// Timeout is how long the caller waits for the response.
	Timeout    time.Duration
	HasTimeout bool
	// PromptTokens is the length of the prompt, 0 if unknown.
	PromptTokens int
	// OutputTokens is the length of the response that the caller expects, 0 if unknown.
	OutputTokens int
	// Prompt holds the IDs of the parts of the prompt in order. Requests share parts
	// except the last one, which belongs to the request or its session.
	Prompt []string
}

// Attempt is the metadata that is sent to a backend server in addition to the caller's
// headers.
type Attempt struct {
	Organisation string
	// Instance is the only instance that may run the request.
	Instance string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// LastEventID replaces the caller's if the stream is resumed at another engine.
	LastEventID string
	// Priority is the priority at the engine; a negative value selects the default.
	Priority int
}

// ResponseMeta is the metadata in the headers of a response.
type ResponseMeta struct {
	RequestID string
	// NotRun is true if the backend server did not and will not run the request.
	NotRun bool
	// Server is the ID of the backend server that responded; empty if the response doesn't
	// name it.
	Server string
	// Statement is what the backend server states about itself.
	Statement throttle.Statement
	// Err describes values that are invalid, and left out of Statement, or too large; nil if
	// there are none.
	Err error
}

// Codec translates headers. Headers that it doesn't define are passed unchanged.
type Codec interface {
	DecodeRequest(header http.Header) Meta
	// EncodeRequest converts a caller's headers into those of an attempt.
	EncodeRequest(header http.Header, a Attempt)
	DecodeResponse(status int, header http.Header) ResponseMeta
	// EncodeOwnResponse sets the headers of a response that this node generates itself.
	EncodeOwnResponse(header http.Header, requestID string)
}
