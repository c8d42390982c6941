package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/drain"
	"github.com/rattanlanding/rattanlanding/formation"
	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/internal/connlimit"
	"github.com/rattanlanding/rattanlanding/internal/httpdrain"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/platform"
)

const (
	// memberPublishInterval is the time between two updates of the list of members for
	// the lease.
	memberPublishInterval = 200 * time.Millisecond
	// shutdownReserve is subtracted from the stop time for the exit of the process
	// itself.
	shutdownReserve = 400 * time.Millisecond
	// answerReserve is the time before that in which the last responses are written.
	answerReserve = 300 * time.Millisecond
	// drainTTLs is the number of address TTLs for which the node goes on serving after
	// its address is no longer handed out: some callers keep an address that long.
	drainTTLs = 3
)

// daemon runs the listeners and background loops of the process.
type daemon struct {
	settings      Settings
	status        *status
	handler       *forward.Handler
	limiter       *connlimit.Limiter
	documents     *Documents
	followers     followers
	platformState *PlatformState
	leases        *lease.Manager
	formation     *formation.Controller
	quarantine    quarantineKeepers
	reloader      *reloader
	inspector     *inspector
	evenness      *evennessReporter
	board         *blackboard.Board
	logger        log.Logger
	shutdown      fx.Shutdowner

	callers *callerServer
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newDaemon(s Settings, st *status, h *forward.Handler, limiter *connlimit.Limiter, d *Documents, f followers, ps *PlatformState, l *lease.Manager,
	c *formation.Controller, q quarantineKeepers, r *reloader, i *inspector, e *evennessReporter, board *blackboard.Board, logger log.Logger, shutdown fx.Shutdowner,
) *daemon {
	return &daemon{settings: s, status: st, handler: h, limiter: limiter, documents: d, followers: f, platformState: ps, leases: l,
		formation: c, quarantine: q, reloader: r, inspector: i, evenness: e, board: board, logger: logger, shutdown: shutdown}
}

// start opens the listeners and starts the background loops.
func (d *daemon) start(context.Context) error {
	listener, err := httpdrain.Listen("tcp4", d.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("callerAddress: %w", err)
	}
	d.callers = newCallerServer(d.handler, listener, d.limiter, d.logger)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, s := range []struct {
		field, address string
		headerBytes    int
		handler        http.Handler
	}{
		{"directoryAddress", d.settings.DirectoryAddress, defaultMaxHeaderBytes, platform.NewDirectoryHandler(d.status)},
		{"readinessAddress", d.settings.ReadinessAddress, defaultMaxHeaderBytes, platform.NewReadinessHandler(d.status)},
		// The heads of requests that other nodes pass on are those of callers.
		{"peerAddress", d.settings.PeerAddress, readHeaderBytes, peerHandler(d.documents.Handler(), d.handler)},
		{"metricsAddress", d.settings.MetricsAddress, defaultMaxHeaderBytes, d.inspector.routes()},
	} {
		if s.address == "" {
			continue
		}
		if err := d.serve(ctx, s.address, s.headerBytes, s.handler); err != nil {
			return fmt.Errorf("%s: %w", s.field, err)
		}
	}
	for name, run := range map[string]func(context.Context) error{
		"configuration": d.followers.configurations.Run,
		"instances":     d.followers.instances.Run,
		"world":         d.platformState.Run,
		"mesh":          d.status.mesh.Run,
		"documents":     d.documents.Run,
		"lease":         d.leases.Run,
		"formation":     d.formation.Run,
		"quarantine":    d.quarantine.run,
		"reload":        d.reloader.run,
		"evenness":      d.evenness.run,
		"members":       d.publishMembers,
		"links":         d.handler.ProbeLinks,
		"limits":        d.followLimits,
		"callers":       func(context.Context) error { return d.callers.run() },
	} {
		d.running.Go(func() { d.loop(ctx, name, run) })
	}
	if d.followers.evacuations != nil {
		d.running.Go(func() { d.loop(ctx, "evacuations", d.followers.evacuations.Run) })
	}
	_ = level.Info(d.logger).Log("msg", "node started", "callers", d.settings.CallerAddress,
		"first_start", d.settings.FirstStart, "boot", d.status.mesh.Boot())
	return nil
}

// serve serves HTTP on an address until ctx is cancelled.
func (d *daemon) serve(ctx context.Context, address string, headerBytes int, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d.limiter.Handler(handler), ConnContext: d.limiter.ConnContext,
		MaxHeaderBytes: headerBytes, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	d.running.Go(func() {
		if err := server.Serve(d.limiter.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			d.fail(address, err)
		}
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// loop runs one background loop. If it returns before the shutdown, the process exits,
// so that it is restarted with all loops running.
func (d *daemon) loop(ctx context.Context, name string, run func(context.Context) error) {
	err := run(ctx)
	if ctx.Err() == nil && !d.status.leaving.Load() {
		d.fail(name, err)
	}
}

// fail logs that a listener or loop failed and stops the process with exit code 1.
func (d *daemon) fail(component string, err error) {
	_ = level.Error(d.logger).Log("msg", "component failed, shutting down", "part", component, "err", err)
	_ = d.shutdown.Shutdown(fx.ExitCode(1))
}

// publishMembers keeps the list of nodes that may hold the lease up to date.
func (d *daemon) publishMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		d.board.Members.Publish(d.status.members())
		wait.For(ctx, memberPublishInterval)
	}
	return nil
}

// followLimits applies the configured limits on callers whenever the configuration
// changes.
func (d *daemon) followLimits(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := d.platformState.Configuration.Changed()
		if c := d.platformState.Configuration.Load(); c != nil {
			d.callers.applyLimits(c.Limits)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// stop shuts the node down gracefully. Its address is no longer handed out; it goes on
// serving callers that still have the address, then stops accepting connections and
// waits for the requests in flight. All of this takes at most the stop time.
func (d *daemon) stop(ctx context.Context) error {
	started := time.Now()
	_ = level.Info(d.logger).Log("msg", "stopping", "in_flight", d.handler.InFlight())
	d.status.leaving.Store(true)
	d.handler.SetLeaving(drain.Grace{Total: d.settings.StopTime, Answers: d.settings.StopTime - shutdownReserve - answerReserve})
	ctx, cancel := context.WithDeadline(ctx, started.Add(d.settings.StopTime-shutdownReserve))
	defer cancel()
	wait.For(ctx, min(drainTTLs*d.settings.AddressTTL, d.settings.StopTime*3/4))
	d.callers.shutdown(ctx)
	d.cancel()
	d.running.Wait()
	_ = level.Info(d.logger).Log("msg", "node stopped", "ms", time.Since(started).Milliseconds())
	return nil
}
