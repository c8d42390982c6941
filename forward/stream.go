package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// stream is the state of a streamed answer over all its attempts.
type stream struct {
	*call
	// begun tells that the head of the answer was sent to the caller.
	begun bool
	// lastEventID is the last event that the caller has.
	lastEventID string
	flusher     *http.ResponseController
	// status is that of the answer, events the number of events passed on.
	status, events int
}

// stream answers a request with events, from as many engines as it takes.
func (h *Handler) stream(ctx context.Context, c *call) {
	s := &stream{call: c, lastEventID: c.LastEventID, flusher: http.NewResponseController(c.writer)}
	for {
		err := h.streamAttempt(ctx, s)
		if err == nil {
			h.answered(c, s.status, s.events)
			return
		}
		if c.request.Context().Err() != nil {
			h.abandon(c)
			return
		}
		if !h.mayRepeat(ctx, c, err) {
			h.endStream(s, err)
			return
		}
		_ = level.Info(h.Logger).Log("msg", "stream goes on elsewhere", "request", c.ID, "sends", c.sends,
			"last_event", s.lastEventID, "begun", s.begun, "err", err)
	}
}

// endStream gives the final answer of a stream that can't go on.
func (h *Handler) endStream(s *stream, err *verdict.Error) {
	if !s.begun {
		h.refuse(s.call, s.final(err))
		return
	}
	h.metrics.broken.Inc(1)
	_ = level.Warn(h.Logger).Log("msg", "stream broken off", "request", s.ID, "last_event", s.lastEventID,
		"sends", s.sends, "err", err)
	// An aborted connection is the only sign that the answer isn't whole.
	panic(http.ErrAbortHandler)
}

// streamAttempt sends the request once and passes its events on.
func (h *Handler) streamAttempt(ctx context.Context, s *stream) *verdict.Error {
	place, err := h.Dispatcher.Acquire(ctx, Want{Pool: s.pool(), Rank: rank(s.route, s.organisation),
		PromptTokens: s.PromptTokens, Avoid: s.tried, Begun: s.begun, GoalAt: s.goalAt, Until: s.waitUntil()})
	if err != nil {
		return h.noPlace(s.call, err)
	}
	defer place.Release()
	monitor := h.newMonitor(s, place)
	answer, failed := h.send(ctx, s.call, place, s.lastEventID, monitor.watch)
	if failed == nil {
		failed = h.relay(s, place, answer, monitor)
	}
	if failed != nil && s.request.Context().Err() == nil {
		h.observe(place, failed)
	}
	return failed
}

// firstEventPatience is the time after which callers leave a stream that has sent
// nothing, less the time to a first event from an engine with a free place.
const firstEventPatience = 1600 * time.Millisecond

// waitUntil returns when the caller would leave before an engine could answer.
func (s *stream) waitUntil() time.Time {
	at := s.started.Add(firstEventPatience)
	if s.begun {
		at = time.Now().Add(firstEventPatience)
	}
	if s.deadline.Before(at) {
		return s.deadline
	}
	return at
}

// relay passes the events of one attempt on to the caller.
func (h *Handler) relay(s *stream, place *Place, answer *upstream.Answer, monitor *monitor) *verdict.Error {
	defer answer.Abort()
	if answer.Status != http.StatusOK && !s.begun {
		return h.relayFailure(s, answer)
	}
	if answer.Status != http.StatusOK {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "engine answered %d to the rest of a stream", answer.Status)
	}
	events := newEventReader(answer.Body)
	defer events.free()
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "the stream broke off").WithCause(err)
		}
		if event.content {
			answer.Progress()
			place.Load.progress(time.Now())
			if monitor.event() {
				place.PromptRead()
			}
		}
		if err := h.pass(s, answer, event); err != nil {
			return err
		}
	}
	h.begin(s, answer)
	return nil
}

// begin sends the head of the answer once.
func (h *Handler) begin(s *stream, answer *upstream.Answer) {
	if s.begun {
		return
	}
	s.begun, s.status = true, answer.Status
	s.firstAfter = time.Since(s.started)
	copyHeader(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.Status)
	h.metrics.firstEvent.UpdateSince(s.started)
}

// pass sends one event to the caller.
func (h *Handler) pass(s *stream, answer *upstream.Answer, e event) *verdict.Error {
	h.begin(s, answer)
	_, err := s.writer.Write(e.raw)
	if err == nil {
		err = s.flusher.Flush()
	}
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "the caller is gone").WithCause(err)
	}
	s.events++
	if e.id != "" {
		s.lastEventID = e.id
	}
	return nil
}

// relayFailure passes an engine's own failure on, or returns an error if another
// engine may be asked.
func (h *Handler) relayFailure(s *stream, answer *upstream.Answer) *verdict.Error {
	body, err := h.memory.readWhole(answer.Body)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "the answer broke off").WithCause(err)
	}
	defer body.release()
	if answer.Status >= http.StatusInternalServerError && s.route.Repeatable() && s.runs < s.route.MaxAttempts {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "engine answered %d", answer.Status)
	}
	s.status = answer.Status
	h.deliver(s.call, answer, body)
	return nil
}

// suspectTime is how long a target that failed receives nothing new. The
// platform's list tells within three heartbeats what became of it.
const suspectTime = 3 * time.Second

// errSilent means that an engine sent nothing for too long.
var errSilent = errors.New("engine is silent")

// Limits of silence.
const (
	// firstEventSlack is added to the time in which a first event is expected.
	firstEventSlack = 500 * time.Millisecond
	// lastAttemptPatience multiplies the limits of an attempt after which the
	// request can't be moved any more. Its caller is told at once then, and may
	// come back with the last event.
	lastAttemptPatience = 2
	// crowdedSlack is added where all places of the engine are taken, so that the
	// request waits for one to end: about half of a stream.
	crowdedSlack = 800 * time.Millisecond
	// minGap is the shortest silence between events that counts as a stall. It
	// has room for the passes in which long prompts are read.
	minGap = 400 * time.Millisecond
	// gapEvents is the number of usual gaps, at a full batch, that count as a
	// stall.
	gapEvents = 6
)

// silenceLimits returns the silence before the first event, and between events,
// after which a stream is moved to another engine. They answer to engines that
// accept requests and do nothing, and must not answer to long prompts, full
// batches or slow groups.
func silenceLimits(r *catalog.Route, p *catalog.EngineProfile, pace float64, promptTokens int) (first, next time.Duration) {
	if p == nil {
		return defaultPatience, defaultPatience
	}
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) * pace) }
	usual, longest := p.EventGap()
	next = max(minGap, scaled(gapEvents*usual), scaled(2*longest))
	first = max(r.LatencyGoal, next) + 2*scaled(p.PrefillTime(promptTokens)) + firstEventSlack
	return first, next
}

// progressWindow is how fresh an event of another stream must be to show that a
// target works: several passes of a full batch.
const progressWindow = 300 * time.Millisecond

// monitor watches one attempt for silence.
type monitor struct {
	load *Load
	// elsewhere reports whether the engine sends events to other nodes.
	elsewhere   func() bool
	first, next time.Duration
	begun       bool
	// last tells that the request can't be moved any more.
	last bool
}

func (h *Handler) newMonitor(s *stream, place *Place) *monitor {
	m := &monitor{
		load:      place.Load,
		elsewhere: func() bool { return h.Peers.Progress(place.Instance.ID) },
		last:      s.runs+1 >= s.route.MaxAttempts || !s.route.Repeatable(),
	}
	m.first, m.next = silenceLimits(s.route, s.service.Engine, place.Pace, s.PromptTokens)
	if place.Crowded() {
		m.first += crowdedSlack
	}
	return m
}

// event records an event and reports whether it was the first one.
func (m *monitor) event() bool {
	first := !m.begun
	m.begun = true
	return first
}

// watch implements upstream.Watch.
func (m *monitor) watch(silent time.Duration) (time.Duration, error) {
	limit := m.first
	if m.begun {
		limit = m.next
	}
	if m.last {
		limit *= lastAttemptPatience
	}
	if silent < limit {
		return limit - silent, nil
	}
	if !m.begun && (m.load.Progressed(time.Now()) || m.elsewhere()) {
		// The engine works on others; this request waits for its turn.
		return progressWindow, nil
	}
	return 0, errSilent
}
