package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/route"
)

const (
	// refreshTimeout bounds an on-demand probe of a target.
	refreshTimeout = 700 * time.Millisecond
	// rebuildWait is the time for refreshed evidence to reach the table.
	rebuildWait = 50 * time.Millisecond
	// refreshInterval is the time between probes of one waiting request. Each
	// result changes the table, which would start the next probe at once.
	refreshInterval = 500 * time.Millisecond
)

// pick chooses a target for a new attempt, waiting up to wait for one. It
// returns nil when none may receive work. Targets in tried come last.
func (g *Gateway) pick(ctx context.Context, policy route.Policy, service string, tried []string, q route.Request, wait time.Duration) *route.Target {
	deadline := time.Now().Add(wait)
	var refreshed time.Time
	for {
		changed := g.Table.Changed()
		for _, age := range []time.Duration{g.config.RefreshAge, math.MaxInt64} {
			for _, skip := range [][]string{tried, nil} {
				if target := g.choose(policy, service, skip, q, age); target != nil {
					return target
				}
			}
			// Nothing fresher exists, so a target with old evidence is probed
			// before it is used.
			if name := g.doubtful(service); age == g.config.RefreshAge && name != "" &&
				time.Since(refreshed) > refreshInterval {
				g.refresh(ctx, name)
				refreshed = time.Now()
			}
		}
		if left := time.Until(deadline); left <= 0 || !await(ctx, changed, left) {
			return nil
		}
	}
}

// choose chooses among the targets whose evidence holds and is not older than
// age, without those in tried.
func (g *Gateway) choose(policy route.Policy, service string, tried []string, q route.Request, age time.Duration) *route.Target {
	now := time.Now()
	targets := g.Table.Load().Service(service).Fresh(now, tried)
	young := targets[:0]
	for _, t := range targets {
		if now.Sub(t.Observed) <= age && (q.Version == "" || q.Version == t.Version) {
			young = append(young, t)
		}
	}
	if len(young) == 0 {
		return nil
	}
	return policy.Choose(young, q, now)
}

// doubtful names a target that is worth probing: one with old evidence, or one
// without whole evidence.
func (g *Gateway) doubtful(service string) string {
	s := g.Table.Load().Service(service)
	if s == nil {
		return ""
	}
	names := make([]string, 0, len(s.Targets)+len(s.Unproven))
	for _, t := range s.Targets {
		if time.Since(t.Observed) > g.config.RefreshAge {
			names = append(names, t.Name)
		}
	}
	if len(names) == 0 {
		names = append(names, s.Unproven...)
	}
	if len(names) == 0 {
		return ""
	}
	return names[rand.IntN(len(names))]
}

// refresh probes a target and waits for the result to reach the table.
func (g *Gateway) refresh(ctx context.Context, name string) {
	g.meters.refreshes.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	changed := g.Table.Changed()
	g.Refresher.Refresh(ctx, name)
	await(ctx, changed, rebuildWait)
}

// await waits for a change, at most for limit. It is false when ctx ended.
func await(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
