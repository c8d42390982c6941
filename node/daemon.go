package node

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
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/drain"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/gateway"
	"github.com/rattanlanding/rattanlanding/health"
	"github.com/rattanlanding/rattanlanding/internal/connlimit"
	"github.com/rattanlanding/rattanlanding/internal/httpdrain"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/limit"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/placement"
	"github.com/rattanlanding/rattanlanding/replica"
	"github.com/rattanlanding/rattanlanding/route"
	"github.com/rattanlanding/rattanlanding/settings"
)

// leavePropagation is the time in which peers receive the update that this node
// is leaving, so that responses to address requests no longer include it.
const leavePropagation = time.Second

// answerReserve is the time before the end of the drain timeout in which the last responses
// are written. It is below any drain timeout that the settings allow.
const answerReserve = time.Second

// closeTimeout limits the closing of idle connections after the drain.
const closeTimeout = 2 * time.Second

// controller is a loop that runs until its context ends. Its name appears in logs.
type controller struct {
	name string
	run  func(context.Context) error
}

// controllers are all controllers of a daemon.
type controllers []controller

func newControllers(node *peer.Node, sources *replica.Sources, confirmer *replica.Confirmer, table *health.Table,
	prober *health.Prober, leases *lease.Manager, reconciler *placement.Reconciler, limiter *limit.Limiter,
	builder *route.Builder,
) controllers {
	return controllers{
		{"peer", node.Run},
		{"replica", sources.Run},
		{"confirmation", confirmer.Run},
		{"evidence", table.Run},
		{"prober", prober.Run},
		{"lease", leases.Run},
		{"placement", reconciler.Run},
		{"limit", limiter.Run},
		{"route", builder.Run},
	}
}

// daemon runs the HTTP servers and controllers of one node.
type daemon struct {
	settings       settings.Settings
	board          *blackboard.Board
	peer           *peer.Node
	gateway        *gateway.Gateway
	limiter        *connlimit.Limiter
	operatorServer operatorServer
	claims         *claim.Registry
	controllers    controllers
	logger         log.Logger
	shutdown       fx.Shutdowner

	callerServer *httpdrain.Server
	// stop cancels the controllers' context.
	stop context.CancelFunc
	// goroutines are those of the controllers and the servers.
	goroutines sync.WaitGroup
}

func newDaemon(s settings.Settings, board *blackboard.Board, node *peer.Node, g *gateway.Gateway, limiter *connlimit.Limiter,
	operators operatorServer, claims *claim.Registry, controllers controllers, logger log.Logger, shutdown fx.Shutdowner,
) *daemon {
	callers := g.Server()
	for _, server := range []*http.Server{callers, operators.Server} {
		server.Handler, server.ConnContext = limiter.Handler(server.Handler), limiter.ConnContext
	}
	return &daemon{
		settings: s, board: board, peer: node, gateway: g, limiter: limiter, operatorServer: operators, claims: claims,
		controllers: controllers, logger: logger, shutdown: shutdown, callerServer: httpdrain.NewServer(callers),
	}
}

// registerDaemon starts and stops the daemon with the application.
func registerDaemon(lifecycle fx.Lifecycle, d *daemon) {
	lifecycle.Append(fx.Hook{OnStart: d.start, OnStop: d.drain})
}

// start opens the listeners and starts the servers and controllers.
func (d *daemon) start(context.Context) error {
	callerListener, err := httpdrain.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("settings: callerAddress: %w", err)
	}
	operatorListener, err := net.Listen("tcp", d.settings.OperatorAddress)
	if err != nil {
		_ = callerListener.Close()
		return fmt.Errorf("settings: operatorAddress: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.board.Lifecycle.Publish(&blackboard.Lifecycle{State: fleet.NodeServing, StartedAt: time.Now()})
	d.serve("callers", d.callerServer, d.limiter.Listen(callerListener))
	d.serve("operators", d.operatorServer.Server, d.limiter.Listen(operatorListener))
	for _, c := range d.controllers {
		d.goroutines.Go(func() { d.runController(ctx, c) })
	}
	_ = level.Info(d.logger).Log("msg", "node started", "node", d.settings.Node,
		"callers", d.settings.CallerAddress, "operators", d.settings.OperatorAddress, "peers", d.settings.PeerAddress)
	return nil
}

// serve runs an HTTP server until it is shut down.
func (d *daemon) serve(name string, server interface{ Serve(net.Listener) error }, listener net.Listener) {
	d.goroutines.Go(func() {
		err := server.Serve(listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.fail(name, err)
		}
	})
}

// runController runs one controller. If it ends before the shutdown, the process
// stops, so that its supervisor restarts it with all controllers.
func (d *daemon) runController(ctx context.Context, c controller) {
	err := c.run(ctx)
	if ctx.Err() == nil {
		d.fail(c.name, err)
	}
}

// fail logs a fatal error and stops the application with exit code 1.
func (d *daemon) fail(part string, err error) {
	_ = level.Error(d.logger).Log("msg", "component failed, shutting down", "part", part, "err", err)
	_ = d.shutdown.Shutdown(fx.ExitCode(1))
}

// drain is the graceful shutdown. It removes the node from responses to address
// requests, serves until all responses that included it have expired, finishes
// the requests in flight and stops.
func (d *daemon) drain(ctx context.Context) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.settings.Bounds.DrainTimeout)
	defer cancel()
	_ = level.Info(d.logger).Log("msg", "node leaving, draining", "node", d.settings.Node, "inFlight", d.gateway.InFlight())
	d.gateway.SetLeaving(drain.Grace{Total: d.settings.Bounds.DrainTimeout, Answers: d.settings.Bounds.DrainTimeout - answerReserve})
	d.publishLeaving(started)
	wait.For(ctx, d.settings.Bounds.AddressTTL+leavePropagation)
	err := d.gateway.Drain(ctx)
	if err != nil {
		_ = level.Warn(d.logger).Log("msg", "drain timeout, aborting requests in flight", "inFlight", d.gateway.InFlight())
	}
	d.close()
	_ = level.Info(d.logger).Log("msg", "node stopped", "node", d.settings.Node,
		"seconds", time.Since(started).Seconds())
	return err
}

// publishLeaving publishes the state leaving on the blackboard and to peers.
func (d *daemon) publishLeaving(since time.Time) {
	current := *d.board.Lifecycle.Load()
	current.State = fleet.NodeLeaving
	current.LeavingSince = since
	d.board.Lifecycle.Publish(&current)
	d.peer.SetLeaving()
}

// close stops the controllers and the servers and waits for them.
func (d *daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	d.stop()
	if err := d.callerServer.Stop(ctx); err != nil {
		_ = level.Warn(d.logger).Log("msg", "closing the server for callers failed", "err", err)
	}
	_ = d.operatorServer.Shutdown(ctx)
	d.goroutines.Wait()
	d.claims.Close()
}
