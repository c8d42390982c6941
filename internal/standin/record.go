package standin

import (
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Headers of attempts at backend servers. Answers echo all that were given.
const (
	HeaderAttempt      = "Rattanlanding-Attempt"
	HeaderGroup        = "Rattanlanding-Group"
	HeaderGeneration   = "Rattanlanding-Generation"
	HeaderOrganisation = "Rattanlanding-Organisation"
	HeaderPriority     = "Rattanlanding-Priority"
	// HeaderKey carries the idempotency key of a plain call.
	HeaderKey = "Idempotency-Key"
)

var echoed = []string{HeaderAttempt, HeaderGroup, HeaderGeneration, HeaderOrganisation, HeaderPriority}

// EngineRecord is the answer of an engine's GET /record. It covers the time
// since the process started, across simulated restarts.
type EngineRecord struct {
	Instance string          `json:"instance"`
	Roles    []RoleChange    `json:"roles"`
	Requests []RequestRecord `json:"requests"`
	Steps    []StepRecord    `json:"steps"`
}

// RoleChange is a role that the engine has from At on; an empty group is none.
type RoleChange struct {
	At         time.Time         `json:"at"`
	Group      string            `json:"group"`
	Generation fleet.Generation  `json:"generation"`
	Rank       int               `json:"rank"`
	Version    string            `json:"version"`
	State      fleet.EngineState `json:"state"`
}

// RequestRecord is a request that the engine began to run.
type RequestRecord struct {
	Attempt      string           `json:"attempt"`
	Group        string           `json:"group"`
	Generation   fleet.Generation `json:"generation"`
	Organisation string           `json:"organisation"`
	Prompt       string           `json:"prompt"`
	Priority     int              `json:"priority"`
	ResumeTokens int              `json:"resumeTokens"`
	Begun        time.Time        `json:"begun"`
	// Ended is zero while the request runs.
	Ended time.Time `json:"ended"`
	// Complete tells that the answer was sent to its end.
	Complete bool   `json:"complete"`
	Error    string `json:"error,omitempty"`
}

// StepRecord is the engine's participation as a member in an attempt.
type StepRecord struct {
	Attempt    string           `json:"attempt"`
	Group      string           `json:"group"`
	Generation fleet.Generation `json:"generation"`
	First      time.Time        `json:"first"`
	Last       time.Time        `json:"last"`
	Steps      int              `json:"steps"`
}

// ServerRecord is the answer of a plain server's GET /record.
type ServerRecord struct {
	Instance string       `json:"instance"`
	Calls    []CallRecord `json:"calls"`
}

// CallRecord is one call that a plain server ran.
type CallRecord struct {
	Number       int       `json:"number"`
	At           time.Time `json:"at"`
	Method       string    `json:"method"`
	Path         string    `json:"path"`
	Attempt      string    `json:"attempt"`
	Organisation string    `json:"organisation"`
	Key          string    `json:"key"`
	Body         string    `json:"body"`
}
