package forward

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// overtakenCheck is the time between two checks whether the silent engine went on.
const overtakenCheck = 20 * time.Millisecond

// errOvertaken is returned if an attempt isn't needed any more.
var errOvertaken = errors.New("the silent engine went on")

// takeover is an attempt that has begun to go on with a stream whose engine is silent.
type takeover struct {
	slot     *Slot
	response *upstream.Response
	monitor  *stallMonitor
}

// takeOver sends a stream whose engine is silent to another one, and reports whether that
// one has begun to answer. Until it has, the answer isn't given up: the other engine may
// refuse the request, and the silent one may go on.
func (h *Handler) takeOver(ctx context.Context, s *stream) bool {
	stalled := verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "engine is silent").WithCause(errStalled)
	if s.next != nil {
		return true
	}
	// An attempt without a response isn't counted yet.
	if s.current == nil && s.runs+1 >= s.route.MaxAttempts {
		return false
	}
	if !s.isRetryable(stalled) || h.budget(s.service.Name).Remaining() == 0 || h.Quarantine.Match(s.subject()) != nil {
		return false
	}
	slot := h.Dispatcher.TryAcquire(SlotRequest{Pool: s.pool(), PromptTokens: s.PromptTokens, Avoid: s.tried})
	if slot == nil {
		return false
	}
	if !h.allowRetry(ctx, s.call, stalled) {
		slot.Release()
		return false
	}
	_ = level.Info(h.Logger).Log("msg", "engine is silent; sending the stream to another one", "request", s.ID, "sends", s.sends, "last_event", s.lastEventID)
	monitor := h.newStallMonitor(ctx, s, slot)
	current := s.current
	monitor.overtaken = func() bool { return current != nil && current.Pending() }
	response, failed := h.send(ctx, s.call, slot, s.lastEventID, monitor.watch)
	if failed == nil {
		failed = s.checkResumed(response)
	}
	if failed != nil {
		if response != nil {
			response.Abort()
		}
		slot.Release()
		if !errors.Is(failed, errOvertaken) && !h.ended() {
			h.suspectOnFailure(slot, failed)
			h.checkCrash(s.call, slot, failed, s.hasEvents())
		}
		_ = level.Info(h.Logger).Log("msg", "the other engine doesn't go on with the stream", "request", s.ID, "sends", s.sends, "err", failed)
		return false
	}
	monitor.overtaken = nil
	s.next = &takeover{slot: slot, response: response, monitor: monitor}
	return true
}

// dropNext ends an attempt that has begun to go on with the stream and isn't needed.
func (s *stream) dropNext() {
	if s.next != nil {
		s.next.response.Abort()
		s.next.slot.Release()
		s.next = nil
	}
}

// watchTakeover is watch for an attempt whose response hasn't begun, while another engine
// may still go on.
func (m *stallMonitor) watchTakeover(sinceProgress time.Duration) (time.Duration, error) {
	switch {
	case m.overtaken():
		return 0, errOvertaken
	case sinceProgress >= m.firstTimeout && !m.engineProgresses():
		return 0, errStalled
	}
	return overtakenCheck, nil
}
