package gateway

import (
	"cmp"
	"time"

	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

// Config holds the limits of the gateway; 0 means the default given.
type Config struct {
	// MaxBodyBytes bounds a request's body; 1 MiB.
	MaxBodyBytes int64
	// MaxConcurrent bounds the requests in flight at this node; 512.
	MaxConcurrent int64
	// HeaderTimeout bounds the time to send a request's header; 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to send a request's body; 15 s.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time to write one part of an answer; 15 s.
	WriteTimeout time.Duration
	// IdleTimeout closes connections without requests; 75 s.
	IdleTimeout time.Duration
	// CompletionTimeout is the deadline of completions without one; 5 min.
	CompletionTimeout time.Duration
	// PlainTimeout is the deadline of calls to plain services without one; 15 s.
	PlainTimeout time.Duration
	// RefreshAge is the age of evidence from which the node probes the members
	// itself if it has nothing fresher; 2 s.
	RefreshAge time.Duration
	// PickWait is how long a new request waits for a target that may receive
	// work; 1 s.
	PickWait time.Duration
	// ResumeWait is how long a stream waits for a group to resume on; 15 s.
	ResumeWait time.Duration
	// StallCheck is the time without a token after which a stream is given up
	// if its group is no longer proven healthy; 500 ms.
	StallCheck time.Duration
	// StallTimeout is the time without a token after which a stream is given up
	// in any case; 30 s.
	StallTimeout time.Duration
	// MaxAttempts bounds the attempts of one request, the first included; 3.
	MaxAttempts int
	// AddressTTL is how long callers may cache an address answer; 5 s.
	AddressTTL time.Duration
	// Groups chooses groups; nil means route.Affinity.
	Groups route.Policy
	// Servers chooses plain servers; nil means route.TwoChoices.
	Servers route.Policy
}

// withDefaults returns c with defaults in place of zero values.
func (c Config) withDefaults() Config {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, 1<<20)
	c.MaxConcurrent = cmp.Or(c.MaxConcurrent, 512)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, 5*time.Second)
	c.BodyTimeout = cmp.Or(c.BodyTimeout, 15*time.Second)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 15*time.Second)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 75*time.Second)
	c.CompletionTimeout = cmp.Or(c.CompletionTimeout, 5*time.Minute)
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
