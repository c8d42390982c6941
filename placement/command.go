package placement

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// pendingCommand is the newest command sent to an instance.
type pendingCommand struct {
	sentAt time.Time
	// report is the engine's response; valid only if answered.
	report   fleet.Report
	answered bool
}

// sendCommands sends each engine the role that the placement assigns to it, if
// its newest report shows another one. Members of a withdrawn group keep their
// roles until the group is removed.
func (d *domain) sendCommands(ctx context.Context, input *Input) {
	byInstance := roles(&d.current)
	type dueCommand struct {
		id, address string
		command     fleet.Command
	}
	var commands []dueCommand
	now := time.Now()
	for id, view := range input.Instances {
		if !view.Fresh || view.Entry.Address == "" || now.Sub(d.pending[id].sentAt) < d.r.cfg.CommandInterval {
			continue
		}
		if !byInstance[id].placed && view.Entry.FabricDomain != d.name {
			// An instance that moved to another fabric domain belongs to that
			// domain's shard.
			continue
		}
		if command, needed := d.commandFor(byInstance[id], d.newestReport(id, &view)); needed {
			commands = append(commands, dueCommand{id, view.Entry.Address, command})
		}
	}
	var mu sync.Mutex
	var sends errgroup.Group
	sends.SetLimit(parallelCommands)
	for _, s := range commands {
		d.pending[s.id] = pendingCommand{sentAt: now}
	}
	for _, s := range commands {
		sends.Go(func() error {
			sent, report, ok := d.send(ctx, s.address, s.command)
			mu.Lock()
			defer mu.Unlock()
			if s.command.Group == "" {
				d.released[s.id] = time.Now()
			}
			d.pending[s.id] = pendingCommand{sentAt: sent, report: report, answered: ok && report.Instance == s.id}
			return nil
		})
	}
	_ = sends.Wait()
	d.pruneCommands(input)
}

// send sends one command, unless the lease is about to expire or a newer
// placement exists. It returns the time before sending, the engine's report and
// whether the command succeeded.
func (d *domain) send(ctx context.Context, address string, command fleet.Command) (time.Time, fleet.Report, bool) {
	sent := time.Now()
	if !d.hasLease() || !d.isNewest() {
		return sent, fleet.Report{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, d.r.cfg.CommandTimeout)
	defer cancel()
	d.r.commands.Inc(1)
	report, err := d.r.commander.Command(callCtx, address, command)
	if err != nil {
		level.Debug(d.r.logger).Log("msg", "command to engine failed; sent again if still needed", "address", address, "group", command.Group, "err", err)
	}
	return sent, report, err == nil
}

// newestReport returns the response to the newest command if it is newer than
// the evidence, else the report in the evidence. Responses are used only to
// choose commands; whether an instance is free or a group serves is decided from
// evidence alone.
func (d *domain) newestReport(id string, view *InstanceView) *fleet.Report {
	if p := d.pending[id]; p.answered && p.sentAt.After(view.ObservedAt) {
		return &p.report
	}
	return &view.Report
}

// commandFor returns the command that gives an engine its role, and whether the
// engine needs it according to its report.
func (d *domain) commandFor(role role, report *fleet.Report) (fleet.Command, bool) {
	if !role.placed {
		// A leaving engine is released too, because it may wait for its release
		// before it stops. The release carries the highest generation used so
		// far: not below that of the old role and below that of any later role,
		// so an engine that checks fencing tokens ignores a release that
		// arrives after a new role.
		release := fleet.Command{Generation: max(d.current.NextGeneration, 1) - 1}
		return release, report.Group != ""
	}
	g := role.group
	if report.State == fleet.EngineLeaving || g.Phase == fleet.PhaseWithdrawn || hasRole(report, g, role.rank) {
		return fleet.Command{}, false
	}
	command := fleet.Command{Group: g.Name, Generation: g.Generation, Rank: role.rank, Size: len(g.Members),
		Service: g.Service, Version: g.Version}
	for _, m := range g.Members {
		command.Members = append(command.Members, m.Address)
	}
	return command, true
}

// hasRole reports whether the report shows the given rank of g, ready or still
// loading.
func hasRole(r *fleet.Report, g *fleet.PlacedGroup, rank int) bool {
	return r.State != fleet.EngineIdle && r.Group == g.Name && r.Generation == g.Generation &&
		r.Rank == rank && r.Size == len(g.Members) && r.Service == g.Service && r.Version == g.Version
}

// pruneCommands deletes the state of commands to instances that are no longer
// in the input.
func (d *domain) pruneCommands(input *Input) {
	for id := range d.pending {
		if _, known := input.Instances[id]; !known {
			delete(d.pending, id)
			delete(d.released, id)
		}
	}
}
