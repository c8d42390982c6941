package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/route"
)

const (
	// confirmTimeout bounds an on-demand probe of a group's members.
	confirmTimeout = 700 * time.Millisecond
	// rebuildWait is the time for confirmed evidence to reach the table.
	rebuildWait = 50 * time.Millisecond
	// confirmInterval is the time between probes of one waiting request. Each
	// result changes the table, which would start the next probe at once.
	confirmInterval = 500 * time.Millisecond
)

// pickGroup chooses a group for a new attempt, waiting up to wait for one. It
// returns nil when none may receive work.
func (g *Gateway) pickGroup(ctx context.Context, service string, tried []string, q route.Request, wait time.Duration) *route.Target {
	deadline := time.Now().Add(wait)
	var confirmed time.Time
	for {
		changed := g.Table.Changed()
		if target := g.young(service, tried, q); target != nil {
			return target
		}
		if name := g.doubtful(service, tried); name != "" && time.Since(confirmed) > confirmInterval {
			g.confirm(ctx, name)
			confirmed = time.Now()
		}
		// Groups that were tried already come last.
		for _, skip := range [][]string{tried, nil} {
			if target := g.choose(g.config.Groups, service, skip, q); target != nil {
				return target
			}
		}
		if left := time.Until(deadline); left <= 0 || !await(ctx, changed, left) {
			return nil
		}
	}
}

// young chooses among targets whose evidence is not yet worth confirming.
func (g *Gateway) young(service string, tried []string, q route.Request) *route.Target {
	now := time.Now()
	targets := g.Table.Load().Service(service).Fresh(now, tried)
	young := targets[:0]
	for _, t := range targets {
		if now.Sub(t.Observed) <= g.config.ConfirmAge {
			young = append(young, t)
		}
	}
	if len(young) == 0 {
		return nil
	}
	return g.config.Groups.Choose(young, q, now)
}

// choose chooses among all targets whose evidence holds.
func (g *Gateway) choose(policy route.Policy, service string, tried []string, q route.Request) *route.Target {
	now := time.Now()
	targets := g.Table.Load().Service(service).Fresh(now, tried)
	if len(targets) == 0 {
		return nil
	}
	return policy.Choose(targets, q, now)
}

// doubtful names a group that is worth probing: one with old evidence, or one
// with members without evidence.
func (g *Gateway) doubtful(service string, tried []string) string {
	s := g.Table.Load().Service(service)
	if s == nil {
		return ""
	}
	names := make([]string, 0, len(s.Targets)+len(s.Unproven))
	for _, t := range s.Targets {
		if time.Since(t.Observed) > g.config.ConfirmAge && !contains(tried, t.Name) {
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

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// confirm probes a group and waits for the result to reach the table.
func (g *Gateway) confirm(ctx context.Context, group string) {
	g.meters.confirms.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	changed := g.Table.Changed()
	g.Confirmer.Confirm(ctx, group)
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
