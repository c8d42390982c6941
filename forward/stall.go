package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/suspicion"
)

// errStalled is returned if an engine sent no event with content for too long.
var errStalled = errors.New("engine stalled: no event with content within the timeout")

// Parameters of stall detection.
const (
	// firstEventSlack is added to the expected time to the first event.
	firstEventSlack = 500 * time.Millisecond
	// lastAttemptFactor multiplies the timeouts of an attempt after which the request
	// can't be moved to another engine any more. If such an attempt stalls before the
	// caller has a part of the answer, the caller gets an error and may retry.
	lastAttemptFactor = 2
	// crowdedSlack is added if all slots of the engine were taken, since the request
	// waits there for another one to end: about half the duration of a stream.
	crowdedSlack = 800 * time.Millisecond
	// minStallTimeout is the shortest time without events that counts as a stall. It
	// allows for the steps in which long prompts are read.
	minStallTimeout = 400 * time.Millisecond
	// stallGaps is the number of usual gaps between events, at a full batch, that count
	// as a stall.
	stallGaps = 6
	// stallRecheck is the time between two checks whether another engine can take a
	// stalled stream.
	stallRecheck = 20 * time.Millisecond
	// maxEmptyReads is the number of reads without an event with content from which an
	// engine counts as faulty and not as silent.
	maxEmptyReads = 8
)

// stallTimeouts returns the times without events, before the first one and between
// two, after which a stream is moved to another engine. They must detect engines that
// accept requests and make no progress, but not be exceeded because of long prompts,
// full batches or slow groups.
func stallTimeouts(r *catalog.Route, p *catalog.EngineProfile, pace float64, promptTokens int) (first, next time.Duration) {
	if p == nil {
		return defaultTimeout, defaultTimeout
	}
	scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) * pace) }
	usual, longest := p.EventGap()
	next = max(minStallTimeout, scaled(stallGaps*usual), scaled(2*longest))
	first = max(r.LatencyGoal, next) + 2*scaled(p.PrefillTime(promptTokens)) + firstEventSlack
	return first, next
}

// progressWindow is the maximum age of an event, also of another stream, that proves
// that a target makes progress: several steps of a full batch.
const progressWindow = 300 * time.Millisecond

// stallMonitor detects a stall of one attempt.
type stallMonitor struct {
	load *Load
	// peerProgress reports whether the engine is sending events to other nodes.
	peerProgress func() bool
	// mustFinish reports whether the caller would lose its answer if the attempt ended:
	// it has a part of it, or the request must not be sent again.
	mustFinish func() bool
	// takeOver reports whether another engine has begun to go on with the stream.
	takeOver func() bool
	// overtaken reports whether the attempt isn't needed any more; nil if it always is.
	overtaken func() bool
	// firstTimeout applies before the first event of the attempt.
	firstTimeout time.Duration
	// nextTimeout applies after the first event.
	nextTimeout time.Duration
	// begun is true once the attempt has received an event.
	begun bool
	// emptyReads is the number of reads since the last event with content.
	emptyReads int
	// lastAttempt is true if the request can't be moved to another engine any more.
	lastAttempt bool
	// failed records the silence of the attempt.
	failed func(suspicion.Kind)
	// silenceKind returns what silence shows of the engine.
	silenceKind func() suspicion.Kind
	// silence is what was recorded of it; None while the engine sends events.
	silence suspicion.Kind
}

func (h *Handler) newStallMonitor(ctx context.Context, s *stream, slot *Slot) *stallMonitor {
	m := &stallMonitor{
		load:         slot.Load,
		peerProgress: func() bool { return h.Peers.Progress(slot.Instance.ID) },
		mustFinish:   func() bool { return s.begun || !s.route.Repeatable() },
		lastAttempt:  s.runs+1 >= s.route.MaxAttempts || !s.route.Repeatable(),
	}
	m.takeOver = func() bool { return h.takeOver(ctx, s) }
	m.failed = func(k suspicion.Kind) { h.recordFailure(s.call, slot, k) }
	m.silenceKind = func() suspicion.Kind { return h.silenceOf(slot) }
	m.firstTimeout, m.nextTimeout = stallTimeouts(s.route, s.service.Engine, slot.TimeFactor, s.PromptTokens)
	if slot.TargetFull() {
		m.firstTimeout += crowdedSlack
	}
	return m
}

// event records an event and reports whether it was the first one.
func (m *stallMonitor) event() bool {
	first := !m.begun
	m.begun, m.emptyReads, m.silence = true, 0, suspicion.None
	return first
}

// recordSilence records the silence of an attempt that goes on, and renews it while the engine
// sends nothing to this node. The attempt has been overdue since the given time: if the engine
// has sent events of other attempts after it, the connection is broken rather than the engine.
func (m *stallMonitor) recordSilence(overdue time.Time) {
	k := m.silenceKind()
	if k == suspicion.Silent && m.load.progressAt.Load() > overdue.UnixNano() {
		k = suspicion.Lost
	}
	switch {
	case k == suspicion.Silent && m.silence == suspicion.Silent:
		m.load.record.Failed(k, time.Now())
	case k == suspicion.None:
	case k == suspicion.Silent || m.silence == suspicion.None:
		m.silence = k
		m.failed(k)
	}
}

// observe returns a reader that counts the reads of a body.
func (m *stallMonitor) observe(body io.Reader) io.Reader { return &observedBody{body, m} }

type observedBody struct {
	io.Reader
	monitor *stallMonitor
}

func (b *observedBody) Read(p []byte) (int, error) {
	b.monitor.emptyReads++
	return b.Reader.Read(p)
}

// engineProgresses reports whether the engine makes progress on other requests.
func (m *stallMonitor) engineProgresses() bool {
	return m.load.HasRecentProgress(time.Now()) || m.peerProgress()
}

// watch implements upstream.Watch: it returns the remaining time, or errStalled.
func (m *stallMonitor) watch(sinceProgress time.Duration) (time.Duration, error) {
	if m.overtaken != nil {
		return m.watchTakeover(sinceProgress)
	}
	limit := m.firstTimeout
	if m.begun {
		limit = m.nextTimeout
	}
	if m.lastAttempt {
		limit *= lastAttemptFactor
	}
	if sinceProgress < limit {
		return limit - sinceProgress, nil
	}
	if !m.begun && m.engineProgresses() {
		// The engine makes progress on other requests; this one is queued there.
		return progressWindow, nil
	}
	if m.mustFinish() && m.emptyReads < maxEmptyReads && !m.takeOver() {
		// A silent engine may go on, while the answer would end for good here.
		m.recordSilence(time.Now().Add(limit - sinceProgress))
		return stallRecheck, nil
	}
	return 0, errStalled
}
