package limit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// The admitted fraction follows a proportional-integral controller on the
// logarithm of the fraction. Load reports are up to 2 s old, so its gain times
// that delay stays well below pi/2, above which the queue would oscillate.
const (
	shedGain     = 0.4  // per second of wait above the target
	shedIntegral = 0.06 // per second of wait above the target, each second
	// shedMost bounds the wait that counts, so that one wrong report does not
	// refuse everything.
	shedMost = 5 * time.Second
	// shedFloor is the logarithm of the least fraction, which keeps samples of
	// the service rate coming.
	shedFloor = -3.0
	// priorityReserve is how many requests with priority an organisation may
	// use ahead of its share. Its requests without priority make up for it.
	priorityReserve = 8
	minRetryAfter   = time.Second
	maxRetryAfter   = 15 * time.Second
)

// WaitSource estimates how long a new request of a service waits in the queue of
// a group. It is false when there is no estimate.
type WaitSource interface {
	EstimatedWait(service string) (time.Duration, bool)
}

// shedders maps model services to their state. A published map is not modified.
type shedders map[string]*shedder

// shedder decides for one service which requests are shed. All nodes compute
// about the same fraction, because it depends on the reported load only.
type shedder struct {
	mu       sync.Mutex
	wait     time.Duration
	target   time.Duration
	integral float64
	updated  time.Time
	// shares are the parts of the organisations' requests that are admitted;
	// nil while nothing is shed.
	shares  map[string]float64
	credits map[string]float64
}

// updateShedders recomputes the shares of all model services.
func (l *Limiter) updateShedders(configuration *fleet.Configuration, now time.Time) {
	if l.config.Waits == nil {
		return
	}
	old := *l.shedders.Load()
	next := make(shedders, len(old))
	for i := range configuration.Services {
		service := &configuration.Services[i]
		if service.Kind != fleet.KindModel {
			continue
		}
		s := old[service.Name]
		if s == nil {
			s = &shedder{target: l.config.TargetWait, updated: now, credits: make(map[string]float64)}
		}
		wait, known := l.config.Waits.EstimatedWait(service.Name)
		if !known {
			wait = 0
		}
		fraction := s.control(wait, now)
		var shares map[string]float64
		if fraction < 1 {
			shares = l.fairShares(configuration, fraction, now)
		}
		s.set(shares)
		next[service.Name] = s
	}
	l.shedders.Store(&next)
}

// control returns the fraction of all requested tokens to admit.
func (s *shedder) control(wait time.Duration, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := min(now.Sub(s.updated), time.Second).Seconds()
	s.wait, s.updated = wait, now
	above := (min(wait, shedMost) - s.target).Seconds()
	s.integral = min(max(s.integral-shedIntegral*above*elapsed, shedFloor), 0)
	return math.Exp(min(max(s.integral-shedGain*above, shedFloor), 0))
}

// set replaces the shares. Credits start anew after each overload.
func (s *shedder) set(shares map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares = shares
	if shares == nil {
		clear(s.credits)
	}
}

// admit returns nil or a refusal. Each request earns its organisation's share of
// its tokens as credit, and an admitted one spends all of them, so that the
// admitted part is exact without a random choice.
func (s *shedder) admit(ctx context.Context, organisation string, tokens float64, priority int, now time.Time) error {
	if tokens <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if deadline, found := ctx.Deadline(); found && deadline.Sub(now) < s.wait {
		return refusal(s.wait)
	}
	share, found := s.shares[organisation]
	if !found || share >= 1 {
		return nil
	}
	credit := s.credits[organisation] + share*tokens
	needed := tokens / 2
	if priority > 0 {
		needed -= priorityReserve * tokens
	}
	if credit >= needed {
		s.credits[organisation] = credit - tokens
		return nil
	}
	s.credits[organisation] = credit
	// The queue reaches its target about when the excess wait has passed.
	return refusal(s.wait - s.target)
}

// refusal says that a request was shed, with the time to try again.
func refusal(wait time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the service is overloaded").
		WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
}
