package soak

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Limits of the guarantees, from the users' requirements.
const (
	// revocationTimeout is the time within which a new configuration must be in force,
	// including the delay that an unstable store may add.
	revocationTimeout = 7 * time.Second
	// responseGrace is the time after a request's deadline within which its final
	// response must arrive.
	responseGrace = 500 * time.Millisecond
	// minRecoveredFraction is the fraction of requests that must be served after the
	// recovery.
	minRecoveredFraction = 0.95
	// recoveryWindow is the time at the end of a run over which that fraction is
	// measured.
	recoveryWindow = 3 * time.Second
)

// violations returns the violated guarantees: those that the fleet detected, those of
// each call, the recovery at the end of the run, and processes that exited unasked. For
// deadly requests those hold that don't depend on an engine that serves them.
func (d *deployment) violations(calls []*call, ended time.Time) []string {
	d.mu.Lock()
	found := append(d.fleet.Violations(), d.found...)
	d.mu.Unlock()
	served, sent := 0, 0
	for _, c := range calls {
		if errors.Is(c.err, errCallerDisconnected) {
			continue
		}
		found = append(found, d.checkExecutions(c)...)
		found = append(found, c.checkResponse()...)
		found = append(found, d.checkAuthorization(c)...)
		found = append(found, c.checkResponseTime()...)
		if c.started.After(ended.Add(-recoveryWindow)) && c.key == "k1" {
			sent++
			if c.status == http.StatusOK && c.complete {
				served++
			}
		}
	}
	for _, c := range d.deadly.finished() {
		found = append(found, d.checkExecutions(c)...)
		found = append(found, c.checkResponse()...)
		found = append(found, c.checkResponseTime()...)
	}
	found = append(found, d.deadly.violations()...)
	if float64(served) < minRecoveredFraction*float64(sent) || sent == 0 {
		found = append(found, fmt.Sprintf("recovery: %d of %d requests served in the last %s", served, sent, recoveryWindow))
	}
	for _, n := range d.nodes {
		if exits := n.unexpectedExits(); exits > 0 {
			found = append(found, fmt.Sprintf("%s: process exited %d times without being stopped", n.settings.Node, exits))
		}
	}
	return found
}

// violation formats a violation with the call and its outcome.
func (c *call) violation(format string, arguments ...any) string {
	return fmt.Sprintf("%s %s at %s, %s after the start, status %d, err %v: ", c.id, c.path, c.address,
		c.ended.Sub(c.started).Round(time.Millisecond), c.status, c.err) + fmt.Sprintf(format, arguments...)
}

// checkExecutions checks that non-idempotent requests ran at most once, and that
// requests with a status that means "not run" didn't run.
func (d *deployment) checkExecutions(c *call) (found []string) {
	runs := d.fleet.Runs(c.id)
	if strings.HasPrefix(c.path, "/pay/") && runs > 1 {
		found = append(found, c.violation("non-idempotent request ran %d times", runs))
	}
	notRunStatuses := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if slices.Contains(notRunStatuses, c.status) && runs > 0 {
		found = append(found, c.violation("status means that the request was not run, but it ran %d times", runs))
	}
	return found
}

// checkResponse checks that a response is an engine's response to this request, and
// that a stream has all events once and in order.
func (c *call) checkResponse() (found []string) {
	if c.status == http.StatusOK && (c.engine == "" || c.originRequest != c.id || c.foreignEvent) {
		found = append(found, c.violation("response of engine %q to request %q", c.engine, c.originRequest))
	}
	for i, n := range c.events {
		if n != i+1 {
			return append(found, c.violation("event %d received as number %d", n, i+1))
		}
	}
	if c.complete && c.status == http.StatusOK && strings.HasPrefix(c.path, "/chat/") && len(c.events) != streamEvents {
		found = append(found, c.violation("stream complete with %d of %d events", len(c.events), streamEvents))
	}
	return found
}

// checkAuthorization checks that keys are accepted until they are revoked, and rejected
// from revocationTimeout after that.
func (d *deployment) checkAuthorization(c *call) (found []string) {
	d.mu.Lock()
	revokedAt := d.revokedAt
	d.mu.Unlock()
	revoked := c.key == "k2" && !revokedAt.IsZero()
	switch {
	case c.status == http.StatusNotFound,
		c.status == http.StatusUnauthorized && (!revoked || c.ended.Before(revokedAt)):
		found = append(found, c.violation("rejected with key %s", c.key))
	case revoked && c.status == http.StatusOK && c.started.After(revokedAt.Add(revocationTimeout)) && c.node.undisturbedSince(c.started.Add(-revocationTimeout)):
		found = append(found, c.violation("served with a key that was revoked %s before", c.started.Sub(revokedAt)))
	}
	return found
}

// checkResponseTime checks that an undisturbed process sends a final response to each
// request in time.
func (c *call) checkResponseTime() (found []string) {
	if !c.node.undisturbedSince(c.started) {
		return nil
	}
	if took := c.ended.Sub(c.started); took > requestTimeout+responseGrace {
		found = append(found, c.violation("no final response before the deadline"))
	} else if c.status == 0 {
		found = append(found, c.violation("no response"))
	}
	return found
}
