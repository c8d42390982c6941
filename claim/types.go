package claim

import (
	"context"
	"net/http"
)

// Key identifies a call. The organisation is part of it, so that one
// organisation can't read another's answers by guessing keys.
type Key struct {
	Organisation string
	Service      string
	// Key is the caller's Idempotency-Key.
	Key string
}

// Answer is the whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the right to send one call. Exactly one of its methods is called,
// once the outcome is known.
type Claim interface {
	// Answered stores the answer. After an error the implementation keeps
	// trying to store it; the caller of Answered delivers it either way.
	Answered(ctx context.Context, answer Answer) error
	// Released states that the call was certainly not run.
	Released(ctx context.Context) error
	// Unknown states that the call may have run and no answer exists.
	Unknown(ctx context.Context) error
}
