package forward

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxRefusedSends bounds the sends of one request that backend servers refuse.
const maxRefusedSends = 2

// mayRepeat takes one repeat from the budget if another attempt is allowed after
// an error.
func (h *Handler) mayRepeat(ctx context.Context, c *call, err *verdict.Error) bool {
	if ctx.Err() != nil || !c.repeatable(err) {
		return false
	}
	if !h.budget(c.service.Name).Take() {
		_ = level.Warn(h.Logger).Log("msg", "retry budget is used up", "request", c.ID, "service", c.service.Name)
		return false
	}
	h.metrics.repeats.Inc(1)
	return true
}

// repeatable reports whether another attempt may help and do no harm. A request
// that got no place was sent nowhere: it has waited as long as makes sense.
func (c *call) repeatable(err *verdict.Error) bool {
	switch {
	case err.Reason == verdict.ReasonOverloaded || err.Reason == verdict.ReasonNoServer:
		return false
	case c.runs >= c.route.MaxAttempts || c.sends >= c.route.MaxAttempts+maxRefusedSends:
		return false
	}
	return retry.Allowed(c.withHistory(err), c.route.Repeatable())
}
