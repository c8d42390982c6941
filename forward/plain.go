package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// plain answers a request with one buffered response.
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
		if !h.allowRetry(ctx, c, err) {
			h.respondError(c, h.endedBy(c.finalError(err)))
			return
		}
		_ = level.Info(h.Logger).Log("msg", "attempt failed; retrying the request", "request", c.ID, "sends", c.sends, "err", err)
	}
}

// plainAttempt sends the request to one backend server and delivers its complete response.
func (h *Handler) plainAttempt(ctx context.Context, c *call) *verdict.Error {
	if err := h.checkQuarantine(c); err != nil {
		return err
	}
	latest, refused := h.latestStart(c)
	if refused != nil {
		return refused
	}
	slot, err := h.Dispatcher.Acquire(ctx, SlotRequest{Pool: c.pool(), Rank: rank(c.route, c.organisation), Avoid: c.tried,
		Once: !c.route.Repeatable(), GoalAt: c.goalAt, Until: earlier(latest, time.Now().Add(time.Until(c.deadline)/2)), Blocked: h.blocked(c)})
	if err == nil {
		defer slot.Release()
	}
	// The quarantine, or the stop of this node, may have begun while the request waited.
	if err := h.checkQuarantine(c); err != nil {
		return err
	}
	if err != nil {
		return h.noSlotError(c, err)
	}
	if _, refused := h.latestStart(c); refused != nil {
		return refused
	}
	response, failed := h.send(ctx, c, slot, "", nil)
	if failed != nil {
		h.observeFailure(c, slot, failed)
		h.checkCrash(c, slot, failed, false)
		return failed
	}
	body, err := h.readResponse(c, upstream.NewRateReader(response.Body))
	if err != nil {
		response.Abort()
		failed := verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "response with status %d interrupted", response.Status).WithCause(err)
		h.observeFailure(c, slot, failed)
		h.checkCrash(c, slot, failed, true)
		return failed
	}
	defer body.Release()
	if failed := h.brokenOff(slot, response); failed != nil {
		h.observeFailure(c, slot, failed)
		h.checkCrash(c, slot, failed, true)
		return failed
	}
	h.observeResponse(c, slot, response.Status)
	if h.recordComplete(c, response); response.Status < http.StatusBadRequest {
		h.Quarantine.Begun(c.subject())
	}
	if response.Status >= http.StatusInternalServerError && c.route.Kind == catalog.Safe {
		// Another backend server may succeed. If it doesn't, this response is delivered.
		own := verdict.New(verdict.Ran, verdict.ReasonBackendFailed, "backend server answered %d", response.Status)
		if h.allowRetry(ctx, c, own) {
			again := h.plainAttempt(ctx, c)
			if again == nil {
				return nil
			}
			_ = level.Info(h.Logger).Log("msg", "retry failed; delivering the earlier response", "request", c.ID, "status", response.Status, "err", again)
		}
	}
	h.deliver(c, response, body)
	return nil
}

// deliver sends a complete response to the caller.
func (h *Handler) deliver(c *call, response *upstream.Response, body *memory.Buffer) {
	copyHeader(c.writer.Header(), response.Header)
	h.closeIfLeaving(c.writer)
	if c.request.Method != http.MethodHead {
		setLength(c.writer.Header(), body.Len())
	}
	c.writer.WriteHeader(response.Status)
	body.Hold().SetRevocable(true)
	if err := body.Write(c.writer); err != nil {
		h.abandon(c)
		return
	}
	if c.route.Kind != catalog.Streaming {
		h.recordResponse(c, response.Status, 0)
	}
}
