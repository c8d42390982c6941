package standin

import (
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Headers of attempts at backend servers. A response echoes those in
// echoedHeaders that its request had.
const (
	HeaderAttempt      = "Rattanlanding-Attempt"
	HeaderGroup        = "Rattanlanding-Group"
	HeaderGeneration   = "Rattanlanding-Generation"
	HeaderOrganisation = "Rattanlanding-Organisation"
	HeaderPriority     = "Rattanlanding-Priority"
	// HeaderIdempotencyKey carries the idempotency key of a plain call.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// echoedHeaders are the request headers that a response repeats.
var echoedHeaders = []string{HeaderAttempt, HeaderGroup, HeaderGeneration, HeaderOrganisation, HeaderPriority}

// EngineRecord is the response body of an engine's GET /record. It covers the time
// since the process started, including the time before simulated restarts.
type EngineRecord struct {
	Instance string          `json:"instance"`
	Roles    []RoleChange    `json:"roles"`
	Requests []RequestRecord `json:"requests"`
	Steps    []StepRecord    `json:"steps"`
}

// RoleChange is the role that the engine holds from At on. An empty group means
// that it holds none.
type RoleChange struct {
	At         time.Time         `json:"at"`
	Group      string            `json:"group"`
	Generation fleet.Generation  `json:"generation"`
	Rank       int               `json:"rank"`
	Version    string            `json:"version"`
	State      fleet.EngineState `json:"state"`
}

// RequestRecord is a completion request that the engine admitted.
type RequestRecord struct {
	Attempt      string           `json:"attempt"`
	Group        string           `json:"group"`
	Generation   fleet.Generation `json:"generation"`
	Organisation string           `json:"organisation"`
	Prompt       string           `json:"prompt"`
	Priority     int              `json:"priority"`
	// ResumeTokens is the number of output tokens from which the request resumed.
	ResumeTokens int       `json:"resumeTokens"`
	Begun        time.Time `json:"begun"`
	// Ended is zero while the request runs.
	Ended time.Time `json:"ended"`
	// Complete reports whether the whole response was sent; if not, Error is the
	// reason.
	Complete bool   `json:"complete"`
	Error    string `json:"error,omitempty"`
}

// StepRecord is the engine's participation as a member in an attempt.
type StepRecord struct {
	Attempt    string           `json:"attempt"`
	Group      string           `json:"group"`
	Generation fleet.Generation `json:"generation"`
	// First and Last are the times of the first and the last step, and Steps is
	// their number.
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
	Steps int       `json:"steps"`
}

// ServerRecord is the response body of a plain server's GET /record.
type ServerRecord struct {
	Instance string       `json:"instance"`
	Calls    []CallRecord `json:"calls"`
}

// CallRecord is one call that a plain server ran.
type CallRecord struct {
	// Number counts the server's calls from 1.
	Number       int       `json:"number"`
	At           time.Time `json:"at"`
	Method       string    `json:"method"`
	Path         string    `json:"path"`
	Attempt      string    `json:"attempt"`
	Organisation string    `json:"organisation"`
	Key          string    `json:"key"`
	Body         string    `json:"body"`
}
