package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of the promises, from the users' rules.
const (
	// revokedWithin is the time for a configuration to be in force, with that by which
	// an unstable store may stretch it.
	revokedWithin = 7 * time.Second
	// finalWithin is added to the time of a request for its last answer.
	finalWithin = 500 * time.Millisecond
	// recoveredShare is the part of the requests that is served after the recovery.
	recoveredShare = 0.95
	// recoveredTime is the end of a run over which the share is taken.
	recoveredTime = 3 * time.Second
)

// check returns the broken promises among calls.
func (w *world) check(calls []*call, ended time.Time) []string {
	broken := w.fleet.Violations()
	served, asked := 0, 0
	for _, c := range calls {
		if errors.Is(c.err, errLeft) {
			continue
		}
		broken = append(broken, w.checkRuns(c)...)
		broken = append(broken, c.checkAnswer()...)
		broken = append(broken, w.checkDenied(c)...)
		broken = append(broken, c.checkFinal()...)
		if c.started.After(ended.Add(-recoveredTime)) && c.key == "k1" {
			asked++
			if c.status == http.StatusOK && c.whole {
				served++
			}
		}
	}
	if float64(served) < recoveredShare*float64(asked) || asked == 0 {
		broken = append(broken, fmt.Sprintf("recovery: %d of %d requests served in the last %s", served, asked, recoveredTime))
	}
	for _, n := range w.nodes {
		if own := n.ownEnds(); own > 0 {
			broken = append(broken, fmt.Sprintf("%s ended by itself %d times", n.settings.Node, own))
		}
	}
	return broken
}

func (c *call) complain(format string, arguments ...any) string {
	return fmt.Sprintf("%s %s at %s, %s after the start, status %d, err %v: ", c.id, c.path, c.address,
		c.ended.Sub(c.started).Round(time.Millisecond), c.status, c.err) + fmt.Sprintf(format, arguments...)
}

// checkRuns checks that unsafe requests ran once at most, and that refused ones didn't
// run.
func (w *world) checkRuns(c *call) (broken []string) {
	runs := w.fleet.Runs(c.id)
	if strings.HasPrefix(c.path, "/pay/") && runs > 1 {
		broken = append(broken, c.complain("ran %d times", runs))
	}
	promises := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if slices.Contains(promises, c.status) && runs > 0 {
		broken = append(broken, c.complain("said not to have run, ran %d times", runs))
	}
	return broken
}

// checkAnswer checks that an answer is an engine's whole answer to its own request.
func (c *call) checkAnswer() (broken []string) {
	if c.status == http.StatusOK && (c.engine == "" || c.answers != c.id || c.strange) {
		broken = append(broken, c.complain("answer of engine %q to request %q", c.engine, c.answers))
	}
	for i, n := range c.events {
		if n != i+1 {
			return append(broken, c.complain("event %d comes as number %d", n, i+1))
		}
	}
	if c.whole && c.status == http.StatusOK && strings.HasPrefix(c.path, "/chat/") && len(c.events) != streamEvents {
		broken = append(broken, c.complain("whole with %d of %d events", len(c.events), streamEvents))
	}
	return broken
}

// checkDenied checks that keys work until they are taken away, and not long after.
func (w *world) checkDenied(c *call) (broken []string) {
	w.mu.Lock()
	revokedAt := w.revokedAt
	w.mu.Unlock()
	revoked := c.key == "k2" && !revokedAt.IsZero()
	switch {
	case c.status == http.StatusNotFound,
		c.status == http.StatusUnauthorized && (!revoked || c.ended.Before(revokedAt)):
		broken = append(broken, c.complain("denied with key %s", c.key))
	case revoked && c.status == http.StatusOK && c.started.After(revokedAt.Add(revokedWithin)) && c.node.calmSince(c.started.Add(-revokedWithin)):
		broken = append(broken, c.complain("served with a key that was taken away %s before", c.started.Sub(revokedAt)))
	}
	return broken
}

// checkFinal checks that a process without trouble gives each request a final answer
// in time.
func (c *call) checkFinal() (broken []string) {
	if !c.node.calmSince(c.started) {
		return nil
	}
	if took := c.ended.Sub(c.started); took > patience+finalWithin {
		broken = append(broken, c.complain("no final answer within its time"))
	} else if c.status == 0 {
		broken = append(broken, c.complain("no answer"))
	}
	return broken
}
