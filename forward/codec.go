package forward

import (
	"net/http"
	"time"
)

// Meta is what the headers of a request say.
type Meta struct {
	// ID identifies the request and is echoed in its answer.
	ID    string
	Model string
	// LastEventID is the last event that the caller has of an earlier answer.
	LastEventID string
	// Key is the caller's key.
	Key    string
	HasKey bool
	// Patience is how long the caller will wait.
	Patience    time.Duration
	HasPatience bool
	// PromptTokens is the length of the prompt, 0 if unknown.
	PromptTokens int
}

// Attempt is what a backend server is told beside the caller's own headers.
type Attempt struct {
	Organisation string
	// Instance is the only instance that may run the request.
	Instance string
	// Left is the time that the backend server has.
	Left time.Duration
	// LastEventID replaces the caller's when a stream goes on.
	LastEventID string
	// Priority is the rank at the engine, or below 0 for none.
	Priority int
}

// AnswerMeta is what the headers of an answer say.
type AnswerMeta struct {
	RequestID string
	// NotRun tells that the backend server did not and will not run the request.
	NotRun bool
}

// Codec translates headers. Header values that it doesn't know pass unchanged.
type Codec interface {
	DecodeRequest(header http.Header) Meta
	// EncodeRequest turns a caller's headers into those of an attempt.
	EncodeRequest(header http.Header, a Attempt)
	DecodeAnswer(status int, header http.Header) AnswerMeta
	// EncodeOwnAnswer sets the headers of an answer that the system makes.
	EncodeOwnAnswer(header http.Header, requestID string)
}
