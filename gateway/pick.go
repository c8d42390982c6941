package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/route"
)

const (
	// refreshTimeout is the time limit of an on-demand probe of a target.
	refreshTimeout = 700 * time.Millisecond
	// rebuildWait is how long refresh waits for the new evidence to appear in the
	// routing table.
	rebuildWait = 50 * time.Millisecond
	// refreshInterval is the minimum time between probes made for one waiting request.
	// Each probe's result changes the table, which would otherwise trigger the next
	// probe immediately.
	refreshInterval = 500 * time.Millisecond
)

// pickTarget chooses a target for a new attempt and waits up to wait for one. It
// returns nil if no target may receive work by then, or at once if the service was
// withdrawn or the request is put in quarantine. Targets in tried are chosen only
// if there is no other.
func (g *Gateway) pickTarget(ctx context.Context, policy route.Policy, service string, tried []string, wanted route.Request, subject quarantine.Request, wait time.Duration) *route.Target {
	deadline := time.Now().Add(wait)
	var refreshed time.Time
	for {
		changed, quarantined := g.Table.Changed(), g.Quarantine.Changed()
		if g.Quarantine.Match(subject) != nil {
			return nil
		}
		for _, maxAge := range []time.Duration{g.config.RefreshAge, math.MaxInt64} {
			for _, excluded := range [][]string{tried, nil} {
				if target := g.chooseTarget(policy, service, excluded, wanted, maxAge); target != nil {
					return target
				}
			}
			// No target has recent evidence, so one with old evidence is probed before
			// it is used.
			if name := g.probeCandidate(service); maxAge == g.config.RefreshAge && name != "" &&
				time.Since(refreshed) > refreshInterval {
				g.refresh(ctx, name)
				refreshed = time.Now()
			}
		}
		remaining := time.Until(deadline)
		if remaining <= 0 || g.withdrawn(service) || !waitForChange(ctx, changed, quarantined, remaining) {
			return nil
		}
	}
}

// withdrawn reports whether the service is no longer configured, so that waiting for a target
// is pointless.
func (g *Gateway) withdrawn(service string) bool {
	configuration := g.Board.Configuration.Load()
	return configuration != nil && configuration.Service(service) == nil
}

// chooseTarget lets the policy choose among the targets whose evidence has not expired
// and is at most maxAge old, except the excluded ones. It returns nil if there are none.
func (g *Gateway) chooseTarget(policy route.Policy, service string, excluded []string, wanted route.Request, maxAge time.Duration) *route.Target {
	now := time.Now()
	targets := g.Table.Load().Service(service).Fresh(now, excluded)
	recent := targets[:0]
	for _, t := range targets {
		if now.Sub(t.Observed) <= maxAge && (wanted.Version == "" || wanted.Version == t.Version) {
			recent = append(recent, t)
		}
	}
	if len(recent) == 0 {
		return nil
	}
	return policy.Choose(recent, wanted, now)
}

// probeCandidate returns the name of a random target that is worth probing: one whose
// evidence is older than RefreshAge or, if there is none, one without complete evidence.
// It returns "" if there is neither.
func (g *Gateway) probeCandidate(service string) string {
	s := g.Table.Load().Service(service)
	if s == nil {
		return ""
	}
	names := make([]string, 0, len(s.Targets)+len(s.WithoutEvidence))
	for _, t := range s.Targets {
		if time.Since(t.Observed) > g.config.RefreshAge {
			names = append(names, t.Name)
		}
	}
	if len(names) == 0 {
		names = append(names, s.WithoutEvidence...)
	}
	if len(names) == 0 {
		return ""
	}
	return names[rand.IntN(len(names))]
}

// refresh probes a target and waits up to rebuildWait for the table to change.
func (g *Gateway) refresh(ctx context.Context, name string) {
	g.metrics.refreshes.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	changed := g.Table.Changed()
	g.Refresher.Refresh(ctx, name)
	waitForChange(ctx, changed, nil, rebuildWait)
}

// waitForChange waits for one of the channels to be closed, up to limit. It reports whether
// ctx is still active.
func waitForChange(ctx context.Context, changed, quarantined <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-quarantined:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
