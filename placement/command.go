package placement

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// pendingCommand is the newest command to an instance.
type pendingCommand struct {
	sentAt time.Time
	// report is the answer, if answered.
	report   fleet.Report
	answered bool
}

// command sends each engine the role that the placement gives it, if its newest
// report shows another one. A withdrawn group keeps its roles until it is
// removed.
func (d *domain) command(ctx context.Context, input *Input) {
	byInstance := roles(&d.current)
	type sending struct {
		id, address string
		order       fleet.Order
	}
	var due []sending
	now := time.Now()
	for id, view := range input.Instances {
		if !view.Fresh || view.Entry.Address == "" || now.Sub(d.pending[id].sentAt) < d.r.cfg.CommandInterval {
			continue
		}
		if !byInstance[id].placed && view.Entry.FabricDomain != d.name {
			// Another shard decides on an instance that moved to its domain.
			continue
		}
		if order, needed := d.order(byInstance[id], d.newestReport(id, &view)); needed {
			due = append(due, sending{id, view.Entry.Address, order})
		}
	}
	var mu sync.Mutex
	var all errgroup.Group
	all.SetLimit(parallelCommands)
	for _, s := range due {
		d.pending[s.id] = pendingCommand{sentAt: now}
	}
	for _, s := range due {
		all.Go(func() error {
			sent, report, ok := d.send(ctx, s.address, s.order)
			mu.Lock()
			defer mu.Unlock()
			if s.order.Group == "" {
				d.released[s.id] = time.Now()
			}
			d.pending[s.id] = pendingCommand{sentAt: sent, report: report, answered: ok && report.Instance == s.id}
			return nil
		})
	}
	_ = all.Wait()
	d.forget(input)
}

// send sends one command, unless the lease or the placement is no longer good.
func (d *domain) send(ctx context.Context, address string, order fleet.Order) (time.Time, fleet.Report, bool) {
	sent := time.Now()
	if !d.good() || !d.newest() {
		return sent, fleet.Report{}, false
	}
	limited, cancel := context.WithTimeout(ctx, d.r.cfg.CommandTimeout)
	defer cancel()
	d.r.commands.Inc(1)
	report, err := d.r.commander.Command(limited, address, order)
	if err != nil {
		level.Debug(d.r.logger).Log("msg", "command failed", "address", address, "group", order.Group, "err", err)
	}
	return sent, report, err == nil
}

// newestReport returns the answer to the newest command if it is newer than the
// evidence, else the evidence. Only commands rest on an answer; whether an
// instance is free or a group serves rests on evidence alone.
func (d *domain) newestReport(id string, view *InstanceView) *fleet.Report {
	if p := d.pending[id]; p.answered && p.sentAt.After(view.ObservedAt) {
		return &p.report
	}
	return &view.Report
}

// order returns the command that an engine needs, given its report.
func (d *domain) order(role role, report *fleet.Report) (fleet.Order, bool) {
	if !role.placed {
		// A leaving engine is released too, because it may wait for that before
		// it stops. The highest generation used so far outranks the old role and is below
		// that of any later one, so a delayed release cannot undo a new role
		// where fencing tokens are checked.
		release := fleet.Order{Generation: max(d.current.NextGeneration, 1) - 1}
		return release, report.Group != ""
	}
	g := role.group
	if report.State == fleet.EngineLeaving || g.Phase == fleet.PhaseWithdrawn || hasRole(report, g, role.rank) {
		return fleet.Order{}, false
	}
	order := fleet.Order{Group: g.Name, Generation: g.Generation, Rank: role.rank, Size: len(g.Members),
		Service: g.Service, Version: g.Version}
	for _, m := range g.Members {
		order.Members = append(order.Members, m.Address)
	}
	return order, true
}

// hasRole tells whether a report shows the role, perhaps still loading.
func hasRole(r *fleet.Report, g *fleet.PlacedGroup, rank int) bool {
	return r.State != fleet.EngineIdle && r.Group == g.Name && r.Generation == g.Generation &&
		r.Rank == rank && r.Size == len(g.Members) && r.Service == g.Service && r.Version == g.Version
}

// forget drops the memory of commands to instances that are gone.
func (d *domain) forget(input *Input) {
	for id := range d.pending {
		if _, known := input.Instances[id]; !known {
			delete(d.pending, id)
			delete(d.released, id)
		}
	}
}
