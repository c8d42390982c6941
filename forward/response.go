package forward

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Mean retry delays that are sent to callers.
const (
	// fullRetry is the mean time until a slot is likely to be free: about the
	// duration of a stream.
	fullRetry = 900 * time.Millisecond
	// noTargetRetry is the mean time in which a group is formed of engines that have
	// the weights already.
	noTargetRetry = 1300 * time.Millisecond
	// evacuatedRetry is the mean time in which groups that others can spare are closed and
	// new ones are formed of their engines.
	evacuatedRetry = 3 * time.Second
)

// noSlotError converts an error of Acquire into the error that is sent to the caller.
func (h *Handler) noSlotError(c *call, err error) *verdict.Error {
	v := verdict.NotRun
	if c.mayHaveRun {
		v = verdict.MayHaveRun
	}
	if errors.Is(err, errEvacuated) {
		h.metrics.evacuated.Inc(1)
		return verdict.New(v, verdict.ReasonNoServer, "all backend servers that can run the request are in evacuated failure domains").
			WithRetryAfter(jitter(evacuatedRetry))
	}
	if errors.Is(err, ErrNoTarget) {
		return verdict.New(v, verdict.ReasonNoServer, "no backend server can run the request").
			WithRetryAfter(jitter(noTargetRetry))
	}
	var refused *refusedError
	if errors.As(err, &refused) && refused.notAdmitted {
		h.metrics.notAdmitted.Inc(1)
	}
	return verdict.New(v, verdict.ReasonOverloaded, "no slot at a backend server became free in time").WithCause(err).WithRetryAfter(retryAfterOf(err, fullRetry))
}

// jitter returns a random duration between half and one and a half of d, so that callers
// who were refused together don't retry together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// finalError returns the error to send to the caller after the last error of a request.
func (c *call) finalError(err *verdict.Error) *verdict.Error {
	final := c.withHistory(err)
	if !time.Now().Before(c.deadline) {
		final.Reason = verdict.ReasonDeadline
	}
	return final
}

// withHistory returns a copy of an error whose verdict also covers earlier attempts.
func (c *call) withHistory(err *verdict.Error) *verdict.Error {
	changed := *err
	if c.mayHaveRun {
		changed.Verdict = verdict.MayHaveRun
	}
	return &changed
}

// respondError answers the request with an error of this node, as opposed to one of a
// backend server.
func (h *Handler) respondError(c *call, err *verdict.Error) {
	status := statusOf(err)
	h.metrics.countRefusal(status)
	h.metrics.countOutcome(c, "refused")
	_ = level.Info(h.Logger).Log("msg", "request refused", "request", c.ID, "status", status, "verdict", err.Verdict,
		"reason", err.Reason, "field", err.Field, "sends", c.sends, "waited_ms", time.Since(c.started).Milliseconds(),
		"retry_after_ms", err.RetryAfter.Milliseconds(), "err", err)
	header := c.writer.Header()
	h.closeIfLeaving(c.writer)
	h.Codec.EncodeOwnResponse(header, c.ID)
	if err.RetryAfter > 0 && err.Verdict == verdict.NotRun {
		header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 2, 64))
	}
	setLength(header, 0)
	c.writer.WriteHeader(status)
}

// statusOf returns the HTTP status of an error. Only a request that certainly has not
// run gets a status that says so.
func statusOf(err *verdict.Error) int {
	notRun := err.Verdict == verdict.NotRun
	switch {
	case notRun && (err.Reason == verdict.ReasonBackendFailed || err.Reason == verdict.ReasonDeadline):
		return http.StatusServiceUnavailable
	case notRun:
		return err.Status()
	case err.Reason == verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// abandon ends a request whose caller has disconnected.
func (h *Handler) abandon(c *call) {
	h.metrics.abandoned.Inc(1)
	_ = level.Debug(h.Logger).Log("msg", "caller disconnected; request ended", "request", c.ID, "sends", c.sends)
	panic(http.ErrAbortHandler)
}

// copyHeader copies the end-to-end headers of a response except Content-Length, which
// is set to the length of the delivered body.
func copyHeader(to, from http.Header) {
	for name, values := range upstream.EndToEnd(from) {
		if name != "Content-Length" {
			to[name] = values
		}
	}
}

func setLength(header http.Header, n int) { header.Set("Content-Length", strconv.Itoa(n)) }

// handlerMetrics are the metrics of the request path.
type handlerMetrics struct {
	registry  metrics.Registry
	retries   metrics.Counter
	broken    metrics.Counter
	abandoned metrics.Counter
	// detours counts the requests sent through another node, detoursRefused those that it
	// didn't send, and carried those sent for other nodes.
	detours, detoursRefused, carried metrics.Counter
	// quarantined counts the requests refused because of a quarantine.
	quarantined metrics.Counter
	// evacuated counts the requests refused because all their servers are evacuated.
	evacuated  metrics.Counter
	firstEvent metrics.Timer
	// firstEventEarly and firstEventLate hold by how many milliseconds first events arrive
	// before and after their estimate.
	firstEventEarly, firstEventLate metrics.Histogram
	// notAdmitted counts the requests that were refused because the engines could only
	// answer them late, or make others late.
	notAdmitted metrics.Counter
	duration    metrics.Timer
}

func newHandlerMetrics(r metrics.Registry) handlerMetrics {
	return handlerMetrics{
		registry:        r,
		retries:         metrics.GetOrRegisterCounter("forward.repeats", r),
		broken:          metrics.GetOrRegisterCounter("forward.streams_broken_off", r),
		abandoned:       metrics.GetOrRegisterCounter("forward.callers_left", r),
		quarantined:     metrics.GetOrRegisterCounter("forward.quarantined", r),
		detours:         metrics.GetOrRegisterCounter("forward.detours", r),
		detoursRefused:  metrics.GetOrRegisterCounter("forward.detours_refused", r),
		carried:         metrics.GetOrRegisterCounter("forward.carried", r),
		evacuated:       metrics.GetOrRegisterCounter("forward.evacuated", r),
		firstEventEarly: newDelayHistogram("forward.first_event_early_ms", r),
		firstEventLate:  newDelayHistogram("forward.first_event_late_ms", r),
		notAdmitted:     metrics.GetOrRegisterCounter("forward.not_admitted", r),
		firstEvent:      metrics.GetOrRegisterTimer("forward.first_event", r),
		duration:        metrics.GetOrRegisterTimer("forward.duration", r),
	}
}

// newDelayHistogram returns a histogram of recent delays.
func newDelayHistogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(delaySamples, delaySampleAlpha))
}

// Parameters of the samples of delays, as the timers of the metrics library have them.
const (
	delaySamples     = 1028
	delaySampleAlpha = 0.015
)

// recordFirstEvent records the first event of an attempt.
func (h *Handler) recordFirstEvent(slot *Slot) {
	estimated, observed := slot.RecordFirstEvent(time.Now())
	switch {
	case estimated <= 0:
	case observed < estimated:
		h.metrics.firstEventEarly.Update((estimated - observed).Milliseconds())
	default:
		h.metrics.firstEventLate.Update((observed - estimated).Milliseconds())
	}
}

// recordResponse updates the metrics for a response of a backend server and logs it.
func (h *Handler) recordResponse(c *call, status, events int) {
	h.metrics.duration.UpdateSince(c.started)
	metrics.GetOrRegisterCounter("forward.answers."+strconv.Itoa(status), h.metrics.registry).Inc(1)
	if goal := c.goalAt.Sub(c.started); c.firstEventDelay <= goal {
		h.metrics.countOutcome(c, "on_time")
	} else {
		h.metrics.countOutcome(c, "late")
	}
	_ = level.Info(h.Logger).Log("msg", "request answered", "request", c.ID, "status", status, "sends", c.sends,
		"first_ms", c.firstEventDelay.Milliseconds(), "total_ms", time.Since(c.started).Milliseconds(), "events", events)
}

func (m *handlerMetrics) countRefusal(status int) {
	metrics.GetOrRegisterCounter("forward.refusals."+strconv.Itoa(status), m.registry).Inc(1)
}

// countOutcome counts an outcome of a request by model. Only configured models are
// counted, so that callers can't create counters.
func (m *handlerMetrics) countOutcome(c *call, name string) {
	if c.service != nil && c.service.Engine != nil && c.service.Engine.Model(c.Model) != nil {
		metrics.GetOrRegisterCounter("forward."+name+"."+c.Model, m.registry).Inc(1)
	}
}
