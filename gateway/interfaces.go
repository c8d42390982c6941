package gateway

import (
	"context"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/claim"
)

// Limiter admits requests. Its errors are *verdict.Error values with verdict
// NotRun.
type Limiter interface {
	Admit(ctx context.Context, organisation, service string, tokens, priority int) (Admission, error)
}

// Admission is an admitted request.
type Admission interface {
	// Done ends the request and states how many tokens it really used.
	Done(actualTokens int)
}

// Claims keeps the durable records of calls that must run at most once. Begin
// returns a claim, or the first answer, or an error with a verdict. hash
// identifies the content of the request.
type Claims interface {
	Begin(ctx context.Context, key claim.Key, hash string) (claim.Claim, *claim.Answer, error)
}

// Refresher probes a target at once and publishes the evidence: all members of a
// group, or the plain server of an instance. It is called by many requests at
// the same time.
type Refresher interface {
	Refresh(ctx context.Context, target string)
}

// Engines is the part of backend.Engines that the gateway uses.
type Engines interface {
	Complete(ctx context.Context, attempt backend.Attempt) (backend.Stream, error)
	Cancel(ctx context.Context, address, attempt string) error
}

// Servers is the part of backend.Plain that the gateway uses.
type Servers interface {
	Do(ctx context.Context, call backend.Call) (backend.Answer, error)
	DoOnce(ctx context.Context, call backend.Call) (backend.Answer, error)
}

// Unlimited admits everything. It is for tests and for nodes without limits.
type Unlimited struct{}

// Admit implements Limiter.
func (Unlimited) Admit(context.Context, string, string, int, int) (Admission, error) {
	return Unlimited{}, nil
}

// Done implements Admission.
func (Unlimited) Done(int) {}

// Refresh implements Refresher and does nothing.
func (Unlimited) Refresh(context.Context, string) {}
