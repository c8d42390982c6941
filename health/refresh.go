package health

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// ErrProbeLimit means that the bound on extra probes is used up.
var ErrProbeLimit = errors.New("limit of extra probes reached")

// RefreshError names the group member without proof of health.
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

// Refresh makes sure that the table holds evidence of at most RefreshAge about
// every member of the group, and probes all members if it does not. Concurrent
// calls for one generation share one round of probes. It returns a *RefreshError
// if the probe of a member failed, ErrProbeLimit if the bound on extra probes
// forbids the round, or ctx's error. A failed probe removes the evidence on this
// node only: the instance's observers decide for the others.
func (p *Prober) Refresh(ctx context.Context, group *fleet.PlacedGroup) error {
	if p.fresh(group) {
		return nil
	}
	key := fmt.Sprintf("%s/%d", group.Name, group.Generation)
	// The round is detached from the first caller's context, because others
	// may wait for it; each probe has its own timeout.
	result := p.flights.DoChan(key, func() (any, error) {
		return nil, p.probeGroup(context.WithoutCancel(ctx), group)
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case r := <-result:
		return r.Err
	}
}

func (p *Prober) fresh(group *fleet.PlacedGroup) bool {
	now := time.Now()
	for _, m := range group.Members {
		o, ok := p.table.Get(m.Instance)
		if !ok || now.Sub(o.ObservedAt) > p.cfg.RefreshAge {
			return false
		}
	}
	return true
}

func (p *Prober) probeGroup(ctx context.Context, group *fleet.PlacedGroup) error {
	// A group larger than the burst could never be admitted; it pays the burst.
	cost := min(len(group.Members), p.extra.Burst())
	if !p.extra.AllowN(time.Now(), cost) {
		return fmt.Errorf("refresh group %s: %w", group.Name, ErrProbeLimit)
	}
	var all errgroup.Group
	for _, m := range group.Members {
		all.Go(func() error {
			if _, err := p.probe(ctx, engine(m)); err != nil {
				return &RefreshError{Group: group.Name, Instance: m.Instance, Err: err}
			}
			return nil
		})
	}
	return all.Wait()
}
