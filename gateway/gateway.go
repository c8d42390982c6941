package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

// Dependencies are the components that a gateway uses. All fields but Memory are required.
type Dependencies struct {
	Board     *blackboard.Board
	Table     *blackboard.Section[route.Table]
	Engines   Engines
	Servers   Servers
	Limiter   Limiter
	Claims    Claims
	Refresher Refresher
	Statuses  StatusSource
	// Quarantine refuses requests that crash engines.
	Quarantine *quarantine.Guard
	Budget     *retry.Budget
	// Memory is the memory for bodies and responses; nil means one of the default size.
	Memory   *memory.Budget
	Logger   log.Logger
	Registry metrics.Registry
}

// Gateway serves the callers' HTTP API.
type Gateway struct {
	Dependencies
	config  Config
	backoff retry.Backoff
	engine  *gin.Engine
	// keys caches the index built by index; nil before the first request.
	keys     atomic.Pointer[keyIndex]
	inFlight atomic.Int64
	// draining is set by Drain: new requests are refused.
	draining atomic.Bool
	// stop is set once this node has begun to stop.
	stop atomic.Pointer[stop]
	// ending is cancelled when each request in progress must be answered.
	ending context.Context
	end    context.CancelFunc
	// background tracks the cancel requests and crash checks of attempts; they may outlive
	// the caller's request.
	background sync.WaitGroup
	// crashChecks shares concurrent checks whether a backend server has crashed.
	crashChecks singleflight.Group
	metrics     gatewayMetrics
}

// releaseMode switches off gin's debug messages, which it prints on standard output.
var releaseMode = sync.OnceFunc(func() { gin.SetMode(gin.ReleaseMode) })

// New returns a gateway.
func New(config Config, deps Dependencies) *Gateway {
	releaseMode()
	if deps.Memory == nil {
		deps.Memory = memory.NewBudget(memory.Config{Registry: deps.Registry})
	}
	g := &Gateway{Dependencies: deps, config: config.withDefaults(), engine: gin.New(), metrics: newGatewayMetrics(deps.Registry)}
	g.ending, g.end = context.WithCancel(context.Background())
	g.engine.RedirectTrailingSlash = false
	g.engine.Use(g.instrument)
	g.engine.GET("/v1/addresses", g.withChecks(g.handleAddresses))
	g.engine.POST("/v1/completions", g.withChecks(g.handleCompletions))
	g.engine.Any("/services/:service/*path", g.withChecks(g.handlePlain))
	g.engine.NoRoute(g.withChecks(g.handleUnknownPath))
	return g
}

// Handler returns the HTTP handler of the callers' listener.
func (g *Gateway) Handler() http.Handler { return g.engine }

// Server returns a server for the callers' listener, with timeouts that limit how long
// slow senders and half-open connections hold resources.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.engine,
		ReadHeaderTimeout: g.config.HeaderTimeout,
		IdleTimeout:       g.config.IdleTimeout,
		MaxHeaderBytes:    64 << 10,
	}
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// drainPoll is the interval at which Drain checks the number of requests in flight.
const drainPoll = 5 * time.Millisecond

// Drain refuses new requests as not run and waits until none is in flight and all
// cancel requests have ended. The node calls it once the addresses that it gave to
// callers have expired. It returns ctx's error if ctx ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for g.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	done := make(chan struct{})
	go func() {
		g.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
