package health

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// ErrProbeLimit means that the rate limit of Refresh is exhausted.
var ErrProbeLimit = errors.New("rate limit of refresh probes reached")

// RefreshError is returned if the probe of a group member failed.
type RefreshError struct {
	Group    string
	Instance string
	Err      error
}

// Error implements error.
func (e *RefreshError) Error() string {
	return fmt.Sprintf("refresh group %s, instance %s: %v", e.Group, e.Instance, e.Err)
}

// Unwrap returns the cause.
func (e *RefreshError) Unwrap() error { return e.Err }

// Refresh ensures that the table holds evidence of every member of the group that
// is not older than RefreshAge; if not, it probes all members. Concurrent calls
// for one generation share one round of probes. It returns a *RefreshError if the
// probe of a member failed, ErrProbeLimit if the rate limit doesn't allow the
// round, or ctx.Err(). A failed probe removes the evidence on this node only; the
// loss is announced to the other nodes by the instance's observers.
func (p *Prober) Refresh(ctx context.Context, group *fleet.PlacedGroup) error {
	if p.hasFreshEvidence(group) {
		return nil
	}
	key := fmt.Sprintf("%s/%d", group.Name, group.Generation)
	// The round doesn't use the first caller's context, because other callers
	// may wait for it. Each probe has its own timeout.
	result := p.refreshes.DoChan(key, func() (any, error) {
		return nil, p.probeGroup(context.WithoutCancel(ctx), group)
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case r := <-result:
		return r.Err
	}
}

// hasFreshEvidence reports whether the table holds evidence of every member that
// is not older than RefreshAge.
func (p *Prober) hasFreshEvidence(group *fleet.PlacedGroup) bool {
	now := time.Now()
	for _, m := range group.Members {
		o, ok := p.table.Get(m.Instance)
		if !ok || now.Sub(o.ObservedAt) > p.cfg.RefreshAge {
			return false
		}
	}
	return true
}

// probeGroup probes all members of the group, within the rate limit.
func (p *Prober) probeGroup(ctx context.Context, group *fleet.PlacedGroup) error {
	// A group larger than the burst could never be admitted, so it costs only
	// the burst.
	cost := min(len(group.Members), p.refreshLimiter.Burst())
	if !p.refreshLimiter.AllowN(time.Now(), cost) {
		return fmt.Errorf("refresh group %s: %w", group.Name, ErrProbeLimit)
	}
	var probes errgroup.Group
	for _, m := range group.Members {
		probes.Go(func() error {
			if _, err := p.probe(ctx, memberTarget(m)); err != nil {
				return &RefreshError{Group: group.Name, Instance: m.Instance, Err: err}
			}
			return nil
		})
	}
	return probes.Wait()
}
