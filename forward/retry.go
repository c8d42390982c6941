package forward

import (
	"context"
	"errors"
	"slices"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxRefusedSends is the number of additional sends of a request whose earlier sends
// backend servers refused.
const maxRefusedSends = 2

// finalReasons are the reasons of errors after which no other attempt is made.
var finalReasons = []verdict.Reason{verdict.ReasonOverloaded, verdict.ReasonNoServer, verdict.ReasonQuarantined,
	verdict.ReasonRequestQuarantined, verdict.ReasonDraining}

// allowRetry reports whether another attempt is allowed after an error. If so, it takes
// one retry from the budget, unless another node had to refuse to send the request: that reached
// no backend server.
func (h *Handler) allowRetry(ctx context.Context, c *call, err *verdict.Error) bool {
	if ctx.Err() != nil || !c.isRetryable(err) {
		return false
	}
	if errors.Is(err, unwanted) {
		return true
	}
	if !h.budget(c.service.Name).Take() {
		_ = level.Warn(h.Logger).Log("msg", "retry budget exhausted; not retrying the request", "request", c.ID, "service", c.service.Name)
		return false
	}
	h.metrics.retries.Inc(1)
	return true
}

// isRetryable reports whether another attempt may succeed and is safe. A request that
// got no slot was sent nowhere; it has already waited as long as is useful. One whose
// prompt is in quarantine would crash another engine, as a trial may, and a node that stops has
// no time for another attempt.
func (c *call) isRetryable(err *verdict.Error) bool {
	switch {
	case slices.Contains(finalReasons, err.Reason):
		return false
	case c.trial, c.runs >= c.route.MaxAttempts || c.sends >= c.route.MaxAttempts+maxRefusedSends:
		return false
	}
	return retry.Allowed(c.withHistory(err), c.route.Repeatable())
}
