package forward

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// soundEvents is the number of events of one attempt from which its engine counts as
	// sound under the prompt. Shorter responses count once they are complete.
	soundEvents = 3
	// crashCheckDelay is the time after a connection broke in which the process of a
	// crashed engine ends.
	crashCheckDelay = 20 * time.Millisecond
	// quarantineSpread is the time over which callers return after a quarantine, so that
	// one of them shows whether the part still crashes engines before all are there.
	quarantineSpread = 30 * time.Second
)

// identify returns an ID that is equal for requests that are the same but for their request
// ID. It covers the organisation in place of the key, which may be replaced.
func (c *call) identify() string {
	d := xxhash.New()
	for _, field := range []string{c.request.Method, c.request.Host, c.target, c.organisationName()} {
		_, _ = d.WriteString(strconv.Quote(field))
	}
	for _, part := range c.body.Parts() {
		_, _ = d.Write(part)
	}
	return hex.EncodeToString(d.Sum(nil))
}

// subject returns the request as far as it may be put in quarantine.
func (c *call) subject() quarantine.Request {
	return quarantine.Request{ID: c.identity, Prompt: c.Prompt, Trial: c.trial}
}

// checkQuarantine returns an error if the request, or a part of its prompt, crashes engines.
func (h *Handler) checkQuarantine(c *call) *verdict.Error {
	q := h.Quarantine.Match(c.subject())
	if q == nil {
		return nil
	}
	h.metrics.quarantined.Inc(1)
	if q.Kind == quarantine.Requests {
		return verdict.New(verdict.NotRun, verdict.ReasonRequestQuarantined, "request in quarantine until %s: %s",
			q.Until.UTC().Format(time.RFC3339), q.Evidence())
	}
	err := verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "prompt in quarantine: %s", q.Evidence()).
		WithRetryAfter(time.Until(q.Until) + rand.N(quarantineSpread))
	err.Field = "prompt"
	return err
}

// blocked returns the function by which a request that waits for a slot notices that it is
// put in quarantine.
func (h *Handler) blocked(c *call) func() (bool, <-chan struct{}) {
	return func() (bool, <-chan struct{}) {
		changed := h.Quarantine.Changed()
		return h.Quarantine.Match(c.subject()) != nil, changed
	}
}

// checkCrash reports to the quarantine if the engine of a failed attempt crashed, or fell
// silent together with its host. begun is true if the engine had sent a part of the response.
// A broken connection alone is no crash: it may have been reset, or the engine may have
// failed only this request.
func (h *Handler) checkCrash(c *call, slot *Slot, failed *verdict.Error, begun bool) {
	brokeAt := time.Now()
	if failed.Verdict != verdict.MayHaveRun || failed.Cause == nil || !brokeAt.Before(c.deadline) {
		return
	}
	check, kind := checkRefused, suspicion.Gone
	if errors.Is(failed, errStalled) {
		check, kind = checkSilent, suspicion.Silent
	}
	instance, subject := slot.Instance, c.subject()
	subject.EarlierAttempts = c.brokenAttempts
	c.brokenAttempts++
	go func() {
		if h.isDown(check, instance) {
			h.recordFailure(c, slot, kind)
			h.Quarantine.Crashed(instance.ID, instance.StartedMs, subject, begun, brokeAt)
		}
	}()
}

// The checks whether a backend server is down: connections are refused, or not answered.
const (
	checkRefused = "refused"
	checkSilent  = "silent"
)

// isDown reports whether an engine whose connection ended has crashed. Another node has to find
// the same, as the link of this node may have failed. Concurrent checks of one engine by the
// same name share their result.
func (h *Handler) isDown(check string, instance *engine.Instance) bool {
	crashed, _, _ := h.crashChecks.Do(check+" "+instance.ID, func() (any, error) {
		time.Sleep(crashCheckDelay)
		ctx := context.Background()
		down, err := h.checkDown(ctx, check, instance.Address)
		return down && h.confirmDown(ctx, check, instance.ID), err
	})
	return crashed == true
}

// brokenOff returns an error if the end of a response that ends with its connection is that
// of a crashed engine, so that the response may be incomplete.
func (h *Handler) brokenOff(slot *Slot, response *upstream.Response) *verdict.Error {
	if !response.EndsWithConnection() || !h.isDown(checkRefused, slot.Instance) {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "backend server ended during a response without a length").
		WithCause(io.ErrUnexpectedEOF)
}

// recordComplete records a complete response. An error that was sent before the server had
// received the body proves nothing: it may not have run the request.
func (h *Handler) recordComplete(c *call, response *upstream.Response) {
	if response.Status < http.StatusBadRequest || !response.Early {
		h.Quarantine.Responded(c.subject(), response.Status)
	}
}
