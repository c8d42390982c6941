package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// plain answers a request with one whole answer.
func (h *Handler) plain(ctx context.Context, c *call) {
	for {
		err := h.plainAttempt(ctx, c)
		if err == nil {
			return
		}
		if c.request.Context().Err() != nil {
			h.abandon(c)
			return
		}
		if !h.mayRepeat(ctx, c, err) {
			h.refuse(c, c.final(err))
			return
		}
		_ = level.Info(h.Logger).Log("msg", "request sent again", "request", c.ID, "sends", c.sends, "err", err)
	}
}

// plainAttempt sends the request once and delivers a whole answer.
func (h *Handler) plainAttempt(ctx context.Context, c *call) *verdict.Error {
	place, err := h.Dispatcher.Acquire(ctx, Want{Pool: c.pool(), Rank: rank(c.route, c.organisation),
		Avoid: c.tried, GoalAt: c.goalAt, Until: time.Now().Add(time.Until(c.deadline) / 2)})
	if err != nil {
		return h.noPlace(c, err)
	}
	defer place.Release()
	answer, failed := h.send(ctx, c, place, "", nil)
	if failed != nil {
		h.observe(place, failed)
		return failed
	}
	body, err := h.memory.readWhole(answer.Body)
	if err != nil {
		answer.Abort()
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "the answer broke off").WithCause(err)
	}
	defer body.release()
	if answer.Status >= http.StatusInternalServerError && c.route.Kind == catalog.Safe {
		// Another backend server may do better; its failure would be the answer.
		own := verdict.New(verdict.Ran, verdict.ReasonBackendFailed, "backend server answered %d", answer.Status)
		if h.mayRepeat(ctx, c, own) && h.plainAttempt(ctx, c) == nil {
			return nil
		}
	}
	h.deliver(c, answer, body)
	return nil
}

// observe keeps requests away from a backend server that failed.
func (h *Handler) observe(place *Place, err *verdict.Error) {
	if err.Reason == verdict.ReasonBackendFailed {
		place.Load.Suspect(time.Now().Add(suspectTime))
	}
}

// deliver passes a whole answer on.
func (h *Handler) deliver(c *call, answer *upstream.Answer, body *wholeBody) {
	copyHeader(c.writer.Header(), answer.Header)
	if c.request.Method != http.MethodHead {
		setLength(c.writer.Header(), body.length)
	}
	c.writer.WriteHeader(answer.Status)
	if err := body.writeTo(c.writer); err != nil {
		h.abandon(c)
		return
	}
	if c.route.Kind != catalog.Streaming {
		h.answered(c, answer.Status, 0)
	}
}
