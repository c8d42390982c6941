package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// stream is the state of a streamed response across all its attempts.
type stream struct {
	*call
	// begun is true once the head of the response was sent to the caller.
	begun bool
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID string
	controller  *http.ResponseController
	// status is the HTTP status of the response.
	status int
	// contentType is the media type of the response; empty if it is unknown.
	contentType string
	// events is the number of events sent to the caller.
	events int
	// current is the response of the current attempt.
	current *upstream.Response
	// next is the attempt that goes on after the current one; nil if there is none yet.
	next *takeover
	// slotWait is the request for a slot for it; nil if there is none.
	slotWait *slotWait
	// slotRefusedAt is when the last such request was refused.
	slotRefusedAt time.Time
}

// stream answers a request with a stream of events, from several engines in succession
// if necessary.
func (h *Handler) stream(ctx context.Context, c *call) {
	s := &stream{call: c, lastEventID: c.LastEventID, controller: http.NewResponseController(c.writer)}
	defer s.dropNext()
	for {
		err := h.streamAttempt(ctx, s)
		if err == nil {
			if s.status == http.StatusOK && c.LastEventID == "" {
				h.Dispatcher.RecordResponse(c.pool(), s.events)
			}
			h.recordResponse(c, s.status, s.events)
			return
		}
		if c.request.Context().Err() != nil {
			h.abandon(c)
			return
		}
		if ctx.Err() != nil || (s.next == nil && !h.allowRetry(ctx, c, err)) {
			h.endStream(s, err)
			return
		}
		_ = level.Info(h.Logger).Log("msg", "stream failed; resuming it at another engine", "request", c.ID, "sends", c.sends,
			"last_event", s.lastEventID, "begun", s.begun, "err", err)
	}
}

// endStream ends a stream that no other engine can continue: with an error, or by
// aborting the connection if a part of the response was sent.
func (h *Handler) endStream(s *stream, err *verdict.Error) {
	if !s.begun {
		h.respondError(s.call, h.endedBy(s.finalError(err)))
		return
	}
	h.metrics.broken.Inc(1)
	_ = level.Warn(h.Logger).Log("msg", "stream failed for good; aborting the caller's connection", "request", s.ID, "last_event", s.lastEventID,
		"sends", s.sends, "err", err)
	// Aborting the connection is the only way to signal an incomplete response.
	panic(http.ErrAbortHandler)
}

// streamAttempt sends the request to one engine and forwards its events to the caller.
func (h *Handler) streamAttempt(ctx context.Context, s *stream) *verdict.Error {
	if next := s.next; next != nil {
		s.next = nil
		defer next.slot.Release()
		return h.finishAttempt(s, next.slot, h.relay(s, next.slot, next.response, next.monitor))
	}
	s.endSlotWait()
	if err := h.checkQuarantine(s.call); err != nil {
		return err
	}
	until, refused := h.streamUntil(s)
	if refused != nil {
		return refused
	}
	slot, err := h.Dispatcher.Acquire(ctx, SlotRequest{Pool: s.pool(), Rank: rank(s.route, s.organisation),
		PromptTokens: s.PromptTokens, OutputTokens: s.OutputTokens, Avoid: s.tried, Begun: s.begun, Once: !s.route.Repeatable(), GoalAt: s.goalAt, Goal: s.route.LatencyGoal, EventGap: s.route.EventGap, Until: until, Blocked: h.blocked(s.call)})
	if err == nil {
		defer slot.Release()
	}
	// The quarantine may have begun while the request waited.
	if err := h.checkQuarantine(s.call); err != nil {
		return err
	}
	if err != nil {
		return h.noSlotError(s.call, err)
	}
	if _, refused := h.streamUntil(s); refused != nil {
		return refused
	}
	s.current = nil
	monitor := h.newStallMonitor(ctx, s, slot)
	response, failed := h.send(ctx, s.call, slot, s.lastEventID, monitor.watch)
	if failed == nil {
		failed = h.relay(s, slot, response, monitor)
	}
	return h.finishAttempt(s, slot, failed)
}

// finishAttempt records the failure of an attempt, if it failed, and returns it.
func (h *Handler) finishAttempt(s *stream, slot *Slot, failed *verdict.Error) *verdict.Error {
	if failed != nil && s.request.Context().Err() == nil && !h.ended() {
		h.observeFailure(s.call, slot, failed)
		h.checkCrash(s.call, slot, failed, s.hasEvents())
	}
	return failed
}

// hasEvents reports whether the caller has received an event, also from an earlier request.
func (s *stream) hasEvents() bool { return s.events > 0 || s.lastEventID != "" }

// firstEventTimeout is the time after which callers leave a stream without events, less
// the time to a first event from an engine with a free slot.
const firstEventTimeout = 1600 * time.Millisecond

// waitUntil returns the time after which the caller would leave before an engine could
// answer.
func (s *stream) waitUntil() time.Time {
	at := s.started.Add(firstEventTimeout)
	if s.begun {
		at = time.Now().Add(firstEventTimeout)
	}
	if s.deadline.Before(at) {
		return s.deadline
	}
	return at
}

// streamUntil returns the time until which the stream may wait for an engine, or an error if
// it may not begin any more because this node stops. One that an engine may have run goes on:
// its caller can't be told that it has not run.
func (h *Handler) streamUntil(s *stream) (time.Time, *verdict.Error) {
	if s.begun || s.mayHaveRun {
		return s.waitUntil(), nil
	}
	latest, refused := h.latestStart(s.call)
	return earlier(latest, s.waitUntil()), refused
}

// relay forwards the events of one attempt to the caller.
func (h *Handler) relay(s *stream, slot *Slot, response *upstream.Response, monitor *stallMonitor) *verdict.Error {
	defer response.Abort()
	if response.Status != http.StatusOK && !s.begun {
		return h.relayError(s, slot, response)
	}
	if err := s.checkResumed(response); err != nil {
		return err
	}
	s.current = response
	events := newEventReader(monitor.observe(response.Body), h.oversized)
	defer events.release()
	received := 0
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "stream interrupted after %d events", s.events).WithCause(err)
		}
		if event.content {
			s.dropNext()
			response.Progress()
			slot.Load.recordProgress(time.Now())
			if monitor.event() {
				h.recordFirstEvent(slot)
				slot.Load.record.Began(time.Now())
			}
			if received++; received == soundEvents {
				h.Quarantine.Begun(s.subject())
			}
		}
		if err := h.forwardEvent(s, response, event); err != nil {
			return err
		}
	}
	if received == 0 && response.EndsWithConnection() {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "engine closed the connection of a stream without a length before an event").WithCause(io.ErrUnexpectedEOF)
	}
	if failed := h.brokenOff(slot, response); failed != nil {
		return failed
	}
	if received > 0 && received < soundEvents {
		h.Quarantine.Begun(s.subject())
	}
	slot.RecordEvents(received, time.Now())
	if received > 0 {
		h.recordComplete(s.call, response)
		slot.Load.record.Answered(time.Now())
	}
	h.sendHead(s, response)
	return nil
}

// checkResumed returns an error if a response can't go on with the stream.
func (s *stream) checkResumed(response *upstream.Response) *verdict.Error {
	if response.Status != http.StatusOK {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "engine answered %d instead of resuming the stream", response.Status)
	}
	if t := mediaType(response.Header); s.begun && t != "" && s.contentType != "" && t != s.contentType {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "engine answered with %s instead of resuming the stream of %s", t, s.contentType)
	}
	return nil
}

// sendHead sends the head of the response to the caller, unless it was already sent.
func (h *Handler) sendHead(s *stream, response *upstream.Response) {
	if s.begun {
		return
	}
	s.begun, s.status, s.contentType = true, response.Status, mediaType(response.Header)
	s.firstEventDelay = time.Since(s.started)
	copyHeader(s.writer.Header(), response.Header)
	h.closeIfLeaving(s.writer)
	s.writer.WriteHeader(response.Status)
	h.metrics.firstEvent.UpdateSince(s.started)
}

// mediaType returns the media type of a response without parameters; empty if it has none
// that is valid.
func mediaType(h http.Header) string {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return t
}

// forwardEvent sends one event to the caller and flushes it.
func (h *Handler) forwardEvent(s *stream, response *upstream.Response, e event) *verdict.Error {
	h.sendHead(s, response)
	_, err := s.writer.Write(e.raw)
	if err == nil {
		err = s.controller.Flush()
	}
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "caller disconnected").WithCause(fmt.Errorf("%w: %w", errCallerLeft, err))
	}
	s.events++
	if e.id != "" {
		s.lastEventID = e.id
	}
	return nil
}

// relayError forwards an engine's error response to the caller, or returns an error if
// the request may be sent to another engine.
func (h *Handler) relayError(s *stream, slot *Slot, response *upstream.Response) *verdict.Error {
	body, err := h.readResponse(s.call, response.Body)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "response with status %d interrupted", response.Status).WithCause(err)
	}
	defer body.Release()
	if failed := h.brokenOff(slot, response); failed != nil {
		return failed
	}
	if s.lastEventID == "" {
		h.recordComplete(s.call, response)
	}
	if response.Status >= http.StatusInternalServerError && s.route.Repeatable() && s.runs < s.route.MaxAttempts {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "engine answered %d", response.Status)
	}
	h.observeResponse(s.call, slot, response.Status)
	s.status = response.Status
	h.deliver(s.call, response, body)
	return nil
}
