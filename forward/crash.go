package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/quarantine"
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

// checkQuarantine returns an error if the prompt contains a part that crashes engines.
func (h *Handler) checkQuarantine(c *call) *verdict.Error {
	q := h.Quarantine.Match(c.Prompt)
	if q == nil {
		return nil
	}
	h.metrics.quarantined.Inc(1)
	err := verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "prompt in quarantine: %s", q.Evidence()).
		WithRetryAfter(time.Until(q.Until) + rand.N(quarantineSpread))
	err.Field = "prompt"
	return err
}

// blocked returns the function by which a request that waits for a slot notices that its
// prompt is put in quarantine.
func (c *call) blocked(l *quarantine.Ledger) func() (bool, <-chan struct{}) {
	return func() (bool, <-chan struct{}) {
		changed := l.Changed()
		return l.Match(c.Prompt) != nil, changed
	}
}

// checkCrash reports to the ledger if the engine of a failed attempt crashed. The attempt
// must not have received an event. A broken connection alone is no crash: it may have been
// reset, or the engine may have failed only this request.
func (h *Handler) checkCrash(c *call, slot *Slot, failed *verdict.Error) {
	if len(c.Prompt) < 2 || failed.Verdict != verdict.MayHaveRun || failed.Cause == nil || errors.Is(failed, errStalled) {
		return
	}
	brokeAt := time.Now()
	instance, prompt := slot.Instance, c.Prompt
	go func() {
		refused, _, _ := h.crashChecks.Do(instance.ID, func() (any, error) {
			time.Sleep(crashCheckDelay)
			return h.Connections.Refused(context.Background(), instance.Address), nil
		})
		if refused == true {
			h.Quarantine.Crashed(instance.ID, instance.StartedMs, prompt, brokeAt)
		}
	}()
}
