package limit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// The logarithm of the admitted fraction is set by a proportional-integral (PI)
// controller. Load reports are up to 2 s old, so the gain times that delay is
// kept well below pi/2, above which the queue would oscillate.
const (
	// proportionalGain is per second of wait above the target.
	proportionalGain = 0.4
	// integralGain is per second of wait above the target, each second.
	integralGain = 0.06
	// maxShedWait limits the wait that is taken into account, so that one wrong
	// report does not cause all requests to be refused.
	maxShedWait = 5 * time.Second
	// minLogFraction is the logarithm of the smallest fraction. The requests that
	// it admits provide samples of the service rate.
	minLogFraction = -3.0
	// priorityCredit is the number of requests with priority that an
	// organisation may use in advance of its share. Its requests without
	// priority are shed to compensate.
	priorityCredit = 8
	// minRetryAfter is the shortest retry time given with a shed request.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest retry time given with a shed request.
	maxRetryAfter = 15 * time.Second
)

// WaitSource estimates the queueing time of new requests.
type WaitSource interface {
	// EstimatedWait estimates how long a new request to a service waits in the
	// queue of a group. It returns false if there is no estimate.
	EstimatedWait(service string) (time.Duration, bool)
}

// shedders maps model services to their shedders. A published map must not be
// modified.
type shedders map[string]*shedder

// shedder decides which requests to one service are shed. All nodes compute
// about the same fraction, because it depends only on the reported load.
type shedder struct {
	mu sync.Mutex
	// wait is the newest estimated wait.
	wait time.Duration
	// target is the wait above which requests are shed.
	target time.Duration
	// integral is the integral term of the controller.
	integral  float64
	updatedAt time.Time
	// shares are the fractions of the organisations' requests that are admitted;
	// nil while none are shed.
	shares map[string]float64
	// credits are the tokens that organisations may still use; they may be
	// negative.
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
			s = &shedder{target: l.config.TargetWait, updatedAt: now, credits: make(map[string]float64)}
		}
		wait, known := l.config.Waits.EstimatedWait(service.Name)
		if !known {
			wait = 0
		}
		fraction := s.updateFraction(wait, now)
		var shares map[string]float64
		if fraction < 1 {
			shares = l.fairShares(configuration, fraction, now)
		}
		s.setShares(shares)
		next[service.Name] = s
	}
	l.shedders.Store(&next)
}

// updateFraction makes a step of the controller and returns the fraction of all
// requested tokens to admit.
func (s *shedder) updateFraction(wait time.Duration, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := min(now.Sub(s.updatedAt), time.Second).Seconds()
	s.wait, s.updatedAt = wait, now
	above := (min(wait, maxShedWait) - s.target).Seconds()
	s.integral = min(max(s.integral-integralGain*above*elapsed, minLogFraction), 0)
	return math.Exp(min(max(s.integral-proportionalGain*above, minLogFraction), 0))
}

// setShares replaces the shares. Credits are reset after each overload.
func (s *shedder) setShares(shares map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares = shares
	if shares == nil {
		clear(s.credits)
	}
}

// admit returns an error if the request is shed. Each request adds its
// organisation's share of its tokens to the credit, and an admitted request
// spends all of its tokens, so that exactly the admitted fraction is reached
// without random choices.
func (s *shedder) admit(ctx context.Context, organisation string, tokens float64, priority int, now time.Time) error {
	if tokens <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if deadline, found := ctx.Deadline(); found && deadline.Sub(now) < s.wait {
		return overloadedError(s.wait)
	}
	share, found := s.shares[organisation]
	if !found || share >= 1 {
		return nil
	}
	credit := s.credits[organisation] + share*tokens
	needed := tokens / 2
	if priority > 0 {
		needed -= priorityCredit * tokens
	}
	if credit >= needed {
		s.credits[organisation] = credit - tokens
		return nil
	}
	s.credits[organisation] = credit
	// The queue reaches its target after about the excess wait.
	return overloadedError(s.wait - s.target)
}

// overloadedError returns the error of a shed request, with the time after which
// to retry.
func overloadedError(wait time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the service is overloaded").
		WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
}
