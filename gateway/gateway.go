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

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

// Parts are what a gateway works with. All fields are required.
type Parts struct {
	Board     *blackboard.Board
	Table     *blackboard.Section[route.Table]
	Engines   Engines
	Servers   Servers
	Limiter   Limiter
	Claims    Claims
	Refresher Refresher
	Budget    *retry.Budget
	Logger    log.Logger
	Registry  metrics.Registry
}

// Gateway serves callers.
type Gateway struct {
	Parts
	config   Config
	backoff  retry.Backoff
	engine   *gin.Engine
	keys     atomic.Pointer[keyIndex]
	inFlight atomic.Int64
	refusing atomic.Bool
	// background counts cancels of attempts that outlive their request.
	background sync.WaitGroup
	meters     meters
}

// releaseMode silences gin's start messages, which go to standard output.
var releaseMode = sync.OnceFunc(func() { gin.SetMode(gin.ReleaseMode) })

// New returns a gateway.
func New(config Config, parts Parts) *Gateway {
	releaseMode()
	g := &Gateway{Parts: parts, config: config.withDefaults(), engine: gin.New(), meters: newMeters(parts.Registry)}
	g.engine.RedirectTrailingSlash = false
	g.engine.Use(g.serve)
	g.engine.GET("/v1/addresses", g.admitted(g.addresses))
	g.engine.POST("/v1/completions", g.admitted(g.completions))
	g.engine.Any("/services/:service/*path", g.admitted(g.plain))
	g.engine.NoRoute(g.admitted(g.unknown))
	return g
}

// Handler returns the HTTP handler of the callers' listener.
func (g *Gateway) Handler() http.Handler { return g.engine }

// Server returns a server for the callers' listener, with timeouts that bound
// slow senders and half-open connections.
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

// drainPoll is the interval at which Drain looks for requests in flight.
const drainPoll = 5 * time.Millisecond

// Drain refuses new requests as not run and waits until none is in flight. The
// node calls it after its address answers expired. It returns ctx's error if
// requests remain when ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	g.refusing.Store(true)
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
