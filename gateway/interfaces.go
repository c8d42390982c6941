package gateway

import (
	"context"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// Limiter performs admission control. Its errors are *verdict.Error values with
// verdict NotRun.
type Limiter interface {
	Admit(ctx context.Context, organisation, service string, tokens, priority int) (Admission, error)
}

// Admission is an admitted request.
type Admission interface {
	// Done ends the request and corrects the charge to the tokens that it used.
	Done(actualTokens int)
}

// Claims stores durable idempotency claims for calls that must run at most once. Begin
// returns a new claim, or the stored response of the first call, or an error with a
// verdict. hash identifies the content of the request.
type Claims interface {
	Begin(ctx context.Context, key claim.Key, hash string) (claim.Claim, *claim.Response, error)
}

// Refresher health-checks a target immediately and publishes the evidence. A target is
// a group, of which all members are probed, or the plain server of an instance.
// Refresh is called concurrently by many requests.
type Refresher interface {
	Refresh(ctx context.Context, target string)
}

// StatusSource requests the report of the backend server at an address.
type StatusSource interface {
	Status(ctx context.Context, address string) (fleet.Report, error)
}

// Engines is the subset of backend.EngineClient that the gateway uses.
type Engines interface {
	Complete(ctx context.Context, attempt backend.Attempt) (backend.Stream, error)
	Cancel(ctx context.Context, address, attempt string) error
}

// Servers is the subset of backend.PlainClient that the gateway uses.
type Servers interface {
	Do(ctx context.Context, call backend.Call) (backend.Response, error)
	DoOnce(ctx context.Context, call backend.Call) (backend.Response, error)
}

// Unlimited is a Limiter that admits every request, a Refresher that does nothing, and a
// StatusSource for which no backend server has crashed. It is for tests and for nodes without limits.
type Unlimited struct{}

// Admit implements Limiter.
func (Unlimited) Admit(context.Context, string, string, int, int) (Admission, error) {
	return Unlimited{}, nil
}

// Done implements Admission.
func (Unlimited) Done(int) {}

// Refresh implements Refresher and does nothing.
func (Unlimited) Refresh(context.Context, string) {}

// Status implements StatusSource.
func (Unlimited) Status(context.Context, string) (fleet.Report, error) { return fleet.Report{}, nil }
