package gateway

import (
	"cmp"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

// Config holds the limits of the gateway. A zero field means the default stated in its
// comment.
type Config struct {
	// MaxBodyBytes is the largest size of a request body; default 1 MiB.
	MaxBodyBytes int64
	// MaxConcurrent is the largest number of requests in flight at this node;
	// default 512.
	MaxConcurrent int64
	// HeaderTimeout limits the time to read a request's header; default 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to read a request's body; default 15 s.
	BodyTimeout time.Duration
	// WriteTimeout limits the time of each write of a response: the whole response, or
	// one event of a stream; default 15 s.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed; default 75 s.
	IdleTimeout time.Duration
	// CompletionTimeout is the time limit of a completion of a service without a
	// timeout of its own; default fleet.DefaultCompletionTimeout.
	CompletionTimeout time.Duration
	// PlainTimeout is the time limit of a call to a plain service without a timeout of
	// its own; default 15 s.
	PlainTimeout time.Duration
	// RefreshAge is the largest age of evidence that is used as it is. If all targets
	// have older evidence, the node probes one itself first; default 2 s.
	RefreshAge time.Duration
	// PickWait is how long a new request waits for a target that may receive work;
	// default 1 s.
	PickWait time.Duration
	// ResumeWait is how long a stream waits for a group to resume on; default 15 s.
	ResumeWait time.Duration
	// StallCheck is the time without a token after which an attempt is abandoned if its
	// group is no longer proven healthy; default 500 ms.
	StallCheck time.Duration
	// StallTimeout is the time without a token after which an attempt is abandoned in
	// any case; default 30 s.
	StallTimeout time.Duration
	// MaxAttempts is the largest number of attempts of one request, the first included;
	// default 3.
	MaxAttempts int
	// AddressTTL is how long callers may cache the response of GET /v1/addresses;
	// default 5 s.
	AddressTTL time.Duration
	// Groups is the policy that chooses groups; nil means route.Affinity.
	Groups route.Policy
	// Servers is the policy that chooses plain servers; nil means route.TwoChoices.
	Servers route.Policy
}

// withDefaults returns c with its zero fields set to their defaults.
func (c Config) withDefaults() Config {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, 1<<20)
	c.MaxConcurrent = cmp.Or(c.MaxConcurrent, 512)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, 5*time.Second)
	c.BodyTimeout = cmp.Or(c.BodyTimeout, 15*time.Second)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 15*time.Second)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 75*time.Second)
	c.CompletionTimeout = cmp.Or(c.CompletionTimeout, fleet.DefaultCompletionTimeout)
	c.PlainTimeout = cmp.Or(c.PlainTimeout, 15*time.Second)
	c.RefreshAge = cmp.Or(c.RefreshAge, 2*time.Second)
	c.PickWait = cmp.Or(c.PickWait, time.Second)
	c.ResumeWait = cmp.Or(c.ResumeWait, 15*time.Second)
	c.StallCheck = cmp.Or(c.StallCheck, 500*time.Millisecond)
	c.StallTimeout = cmp.Or(c.StallTimeout, 30*time.Second)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, retry.DefaultAttempts)
	c.AddressTTL = cmp.Or(c.AddressTTL, 5*time.Second)
	if c.Groups == nil {
		c.Groups = &route.Affinity{}
	}
	if c.Servers == nil {
		c.Servers = route.TwoChoices{}
	}
	return c
}
