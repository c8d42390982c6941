package forward

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// notRunStatus is the status of a response by which a backend server refused to run a request.
type notRunStatus int

func (s notRunStatus) Error() string { return fmt.Sprintf("status %d", int(s)) }

// errCallerLeft is returned if a response can't be sent to the caller.
var errCallerLeft = errors.New("caller disconnected")

// observeFailure records what a failed attempt shows of its backend server.
func (h *Handler) observeFailure(c *call, slot *Slot, failed *verdict.Error) {
	if c.request.Context().Err() == nil && !h.ended() {
		h.recordFailure(c, slot, h.failureKind(c, slot, failed))
	}
}

// observeResponse records a complete response of a backend server.
func (h *Handler) observeResponse(c *call, slot *Slot, status int) {
	slot.Load.recordProgress(time.Now())
	if status >= http.StatusInternalServerError {
		h.recordFailure(c, slot, suspicion.Errored)
		return
	}
	slot.Load.record.Answered(time.Now())
}

// failureKind returns what a failed attempt shows of its backend server. An attempt that this
// node ended because it stops, or has no memory or connection for it, or whose caller has left,
// shows nothing, and neither does the refusal of a server that has stated its limit.
func (h *Handler) failureKind(c *call, slot *Slot, failed *verdict.Error) suspicion.Kind {
	var refused notRunStatus
	var network net.Error
	switch {
	case h.lostLink(slot), errors.Is(failed, errNoDetour), errors.Is(failed, unwanted):
		return suspicion.None
	case failed.Reason != verdict.ReasonBackendFailed, errors.Is(failed, errBuffersFull), errors.Is(failed, upstream.ErrNoMemory),
		errors.Is(failed, upstream.ErrNoConnection), errors.Is(failed, errCallerLeft), errors.Is(failed, errOvertaken):
		return suspicion.None
	case errors.As(failed, &refused) && refused == http.StatusMisdirectedRequest:
		return suspicion.Gone
	case errors.As(failed, &refused):
		if _, limited := h.Dispatcher.AcceptedRate(slot.Target); limited {
			return suspicion.None
		}
		return suspicion.Refused
	case errors.Is(failed, errStalled), !time.Now().Before(c.deadline), errors.As(failed, &network) && network.Timeout():
		return h.silenceOf(slot)
	case failed.Verdict == verdict.NotRun:
		return suspicion.Gone
	case errors.Is(failed, upstream.ErrForeignResponse):
		return suspicion.Spoiled
	case failed.Cause == nil:
		return suspicion.Errored
	}
	return suspicion.Lost
}

// silenceKind returns what the silence of one attempt shows of its backend server: one that
// answers other requests of this node isn't silent. What others get from it is known late, and
// weighed when a target is chosen.
func silenceKind(slot *Slot) suspicion.Kind {
	if slot.Load.HasRecentProgress(time.Now()) {
		return suspicion.Lost
	}
	return suspicion.Silent
}

// recordFailure adds a failure to the evidence against a backend server.
func (h *Handler) recordFailure(c *call, slot *Slot, k suspicion.Kind) {
	if k == suspicion.None {
		return
	}
	now := time.Now()
	held := slot.Load.record.Failed(k, now)
	metrics.GetOrRegisterCounter("suspicion.failures."+k.String(), h.metrics.registry).Inc(1)
	e, a := slot.Load.Evidence(now), h.Dispatcher.assess(slot.Target, now)
	_ = level.Info(h.Logger).Log("msg", "backend server failed a request", "request", c.ID, "instance", slot.Instance.ID, "group", slot.Group.Name,
		"kind", k, "failed", int(e.Failed+0.5), "answered", int(e.Answered+0.5), "trust", math.Round(100*a.Trust)/100, "held", held)
}

// assess returns what to expect of a target.
func (d *Dispatcher) assess(t *Target, now time.Time) suspicion.Assessment {
	others := d.peers.Evidence(t.Instance.ID)
	if others == 0 && !t.Load.record.Doubted() {
		return suspicion.Assessment{Trust: 1}
	}
	own := t.Load.HasRecentProgress(now)
	return suspicion.Assess(t.Load.Evidence(now), others, own, own || d.peers.Progress(t.Instance.ID))
}

// Assess returns what to expect of a target.
func (d *Dispatcher) Assess(t *Target) suspicion.Assessment { return d.assess(t, time.Now()) }

// weigh sets the parts of their slots that the candidates get, by the assessments of their
// targets.
func (s *candidateSet) weigh(assessments []suspicion.Assessment) {
	best := 0.0
	for _, a := range assessments {
		if !a.Held {
			best = max(best, a.Trust)
		}
	}
	if best <= 0 {
		return
	}
	requests, slots := 0.0, 0.0
	for i, a := range assessments {
		if c := &s.candidates[i]; !a.Held && !c.Excluded && suspicion.IsSound(a.Trust/best) {
			requests, slots = requests+c.Requests, slots+float64(c.Slots)
		}
	}
	utilisation := 1.0
	if slots > 0 {
		utilisation = requests / slots
	}
	for i, a := range assessments {
		c := &s.candidates[i]
		c.Doubtful = !suspicion.IsSound(a.Trust / best)
		c.Trust = suspicion.Share(a.Trust/best, utilisation)
		if a.Untested {
			c.Requests, c.Ahead, c.Slots, c.Trust, c.Doubtful, c.Trial = 0, 0, 1, 1, true, true
			c.Excluded = c.Excluded || s.targets[i].Load.trials.Load() > 0
		}
	}
}
