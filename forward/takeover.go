package forward

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// overtakenCheck is the time between two checks whether the silent engine went on.
	overtakenCheck = 20 * time.Millisecond
	// slotRetryDelay is the time after which a slot that was refused is asked for again.
	slotRetryDelay = 500 * time.Millisecond
)

// errOvertaken is returned if an attempt isn't needed any more.
var errOvertaken = errors.New("the silent engine went on")

// takeover is an attempt that has begun to go on with a stream whose engine is silent.
type takeover struct {
	slot     *Slot
	response *upstream.Response
	monitor  *stallMonitor
}

// slotWait is a request for a slot that is made while the engine of a stream is silent.
type slotWait struct {
	cancel context.CancelFunc
	// result receives the slot, or nil if there is none.
	result chan *Slot
}

// waitForSlot asks for a slot for a stream, which goes before all requests whose callers
// have no part of an answer.
func (h *Handler) waitForSlot(ctx context.Context, s *stream) *slotWait {
	ctx, cancel := context.WithCancel(ctx)
	w := &slotWait{cancel: cancel, result: make(chan *Slot, 1)}
	r := SlotRequest{Pool: s.pool(), Rank: rank(s.route, s.organisation), PromptTokens: s.PromptTokens, Avoid: maps.Clone(s.tried), Begun: true,
		GoalAt: s.goalAt, Until: s.deadline, Blocked: h.blocked(s.call)}
	go func() {
		slot, err := h.Dispatcher.Acquire(ctx, r)
		if err != nil {
			_ = level.Debug(h.Logger).Log("msg", "no slot for a stream whose engine is silent", "request", s.ID, "err", err)
		}
		w.result <- slot
	}()
	return w
}

// slotForNext returns the slot for the attempt that is to go on with a stream, or nil if
// there is none yet.
func (h *Handler) slotForNext(ctx context.Context, s *stream) *Slot {
	if s.slotWait == nil {
		if time.Since(s.slotRefusedAt) < slotRetryDelay {
			return nil
		}
		s.slotWait = h.waitForSlot(ctx, s)
	}
	select {
	case slot := <-s.slotWait.result:
		s.slotWait.cancel()
		s.slotWait = nil
		if slot == nil {
			s.slotRefusedAt = time.Now()
		}
		return slot
	default:
		return nil
	}
}

// endSlotWait ends the wait for a slot, and releases the slot if there is one.
func (s *stream) endSlotWait() {
	w := s.slotWait
	if w == nil {
		return
	}
	s.slotWait = nil
	w.cancel()
	go func() {
		if slot := <-w.result; slot != nil {
			slot.Release()
		}
	}()
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
		s.endSlotWait()
		return false
	}
	slot := h.slotForNext(ctx, s)
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
			h.observeFailure(s.call, slot, failed)
			h.checkCrash(s.call, slot, failed, s.hasEvents())
		}
		_ = level.Info(h.Logger).Log("msg", "the other engine doesn't go on with the stream", "request", s.ID, "sends", s.sends, "err", failed)
		return false
	}
	monitor.overtaken = nil
	s.next = &takeover{slot: slot, response: response, monitor: monitor}
	return true
}

// dropNext ends the search for an engine that goes on with the stream.
func (s *stream) dropNext() {
	s.endSlotWait()
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
