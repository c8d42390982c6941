package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/drain"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// headerRequest carries the request's ID, which log lines contain too.
const headerRequest = "Rattanlanding-Request"

// request is a caller's request after authentication.
type request struct {
	id            string
	ctx           *gin.Context
	configuration *fleet.Configuration
	organisation  *fleet.Organisation
	// kind and callerDeadline decide whether the request may start while this node stops.
	kind           drain.Kind
	callerDeadline time.Time
	// body is the memory of the body that was read; nil if none was.
	body *memory.Buffer
}

// handler serves one kind of request. A returned error is written as the response
// unless a response has already begun.
type handler func(r *request) error

// instrument is the middleware that counts and logs every request and turns a panic
// into an error response.
func (g *Gateway) instrument(c *gin.Context) {
	start := time.Now()
	id := uuid.NewString()
	c.Set(headerRequest, id)
	c.Header(headerRequest, id)
	g.inFlight.Add(1)
	g.metrics.requests.Inc(1)
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				_ = level.Error(g.Logger).Log("msg", "panic while handling a request; its outcome is unknown", "request", id, "panic", fmt.Sprint(p))
			}
			if p == http.ErrAbortHandler || c.Writer.Written() {
				// Aborting the connection is the only way to signal an incomplete response.
				g.inFlight.Add(-1)
				panic(http.ErrAbortHandler)
			}
			g.fail(c, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "internal error"))
		}
		g.inFlight.Add(-1)
		level.Debug(g.Logger).Log("msg", "request ended", "request", id, "method", c.Request.Method,
			"path", c.Request.URL.Path, "status", c.Writer.Status(), "bytes", c.Writer.Size(),
			"ms", time.Since(start).Milliseconds())
	}()
	if g.leaving() {
		// Makes the caller open a new connection, to a node that is not shutting down.
		c.Header("Connection", "close")
	}
	c.Next()
}

// withChecks returns a handler that runs the checks common to all requests and then h:
// this node may serve, the concurrency limit is not reached, and the key is valid.
func (g *Gateway) withChecks(h handler) gin.HandlerFunc {
	return func(c *gin.Context) {
		r := &request{id: c.GetString(headerRequest), ctx: c}
		err := g.checkServing(time.Now())
		if err == nil && g.inFlight.Load() > g.config.MaxConcurrent {
			err = verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "too many requests at this node").
				WithRetryAfter(200 * time.Millisecond)
		}
		if err == nil {
			if !g.Memory.BeginRequest() {
				g.fail(c, noMemoryError(c, memory.ErrNoMemory))
				return
			}
			defer g.Memory.EndRequest()
			defer r.releaseBody()
			err = g.authenticate(r)
		}
		if err != nil {
			g.fail(c, err)
			return
		}
		if err := h(r); err != nil {
			g.fail(c, g.endedBy(verdict.Of(err)))
		}
	}
}

// checkServing returns the error with which this node refuses new work, or nil. A node
// whose configuration may be outdated refuses, so that an accepted configuration is in
// force on every node that serves.
func (g *Gateway) checkServing(now time.Time) *verdict.Error {
	if g.draining.Load() {
		return stoppingError()
	}
	if !g.confirmed(now) {
		return g.unconfirmedError()
	}
	return nil
}

// confirmed reports whether the confirmation of the configuration is valid at now, so
// that it may be used for new work.
func (g *Gateway) confirmed(now time.Time) bool {
	confirmation := g.Board.Confirmation.Load()
	return confirmation != nil && g.Board.Configuration.Load() != nil && now.Before(confirmation.ServeUntil)
}

// unconfirmedError returns the refusal of a request while the configuration is not
// confirmed.
func (g *Gateway) unconfirmedError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed,
		"this node can't confirm its configuration, use another address")
}

// leaving reports whether a graceful shutdown has begun.
func (g *Gateway) leaving() bool {
	lifecycle := g.Board.Lifecycle.Load()
	return g.draining.Load() || (lifecycle != nil && lifecycle.State == fleet.NodeLeaving)
}

// fail writes err as the response, unless a response has already begun.
func (g *Gateway) fail(c *gin.Context, err *verdict.Error) {
	id := c.GetString(headerRequest)
	g.metrics.countError(err.Reason)
	level.Debug(g.Logger).Log("msg", "request failed", "request", id, "err", err)
	if c.Writer.Written() {
		return
	}
	if err.Reason == verdict.ReasonDraining || err.Reason == verdict.ReasonUnconfirmed ||
		err.Reason == verdict.ReasonTooLarge {
		c.Header("Connection", "close")
	}
	if err.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int((err.RetryAfter+time.Second-1)/time.Second)))
	}
	c.Header(verdict.Header, err.Verdict.String())
	g.skipBody(c, err)
	g.extendWriteDeadline(c)
	c.AbortWithStatusJSON(err.Status(), err.Body(id))
}

// extendWriteDeadline restarts the write timeout for the next write to the caller.
func (g *Gateway) extendWriteDeadline(c *gin.Context) {
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(time.Now().Add(g.config.WriteTimeout))
}

// timeout returns the time limit of the request: that of the service, or else fallback,
// and at most the one that the caller's deadline header gives.
func (r *request) timeout(service *fleet.Service, fallback time.Duration) (time.Duration, error) {
	limit := fallback
	if service.TimeoutMs > 0 {
		limit = time.Duration(service.TimeoutMs) * time.Millisecond
	}
	text := r.ctx.GetHeader(backend.HeaderDeadline)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, verdict.BadField(backend.HeaderDeadline, "must be a positive number of milliseconds")
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// priority returns the priority that the request header gives, at most that of the
// organisation.
func (r *request) priority() (int, error) {
	text := r.ctx.GetHeader(backend.HeaderPriority)
	if text == "" {
		return 0, nil
	}
	priority, err := strconv.Atoi(text)
	if err != nil {
		return 0, verdict.BadField(backend.HeaderPriority, "must be a whole number")
	}
	return min(priority, r.organisation.Priority), nil
}

// service returns the named service of the given kind if the organisation may use it.
// Its errors name field as the offending input.
func (r *request) service(name string, kind fleet.Kind, field string) (*fleet.Service, error) {
	service := r.configuration.Service(name)
	if service == nil || service.Kind != kind {
		e := verdict.New(verdict.NotRun, verdict.ReasonNotFound, "there is no %s service %q", kind, name)
		e.Field = field
		return nil, e
	}
	if !mayUse(r.organisation, name) {
		e := verdict.New(verdict.NotRun, verdict.ReasonForbidden, "the organisation may not use %q", name)
		e.Field = field
		return nil, e
	}
	return service, nil
}

// mayUse reports whether the organisation may use the service. An empty list of services
// permits all.
func mayUse(organisation *fleet.Organisation, service string) bool {
	for _, name := range organisation.Services {
		if name == service {
			return true
		}
	}
	return len(organisation.Services) == 0
}

// handleUnknownPath refuses requests to paths that don't exist.
func (g *Gateway) handleUnknownPath(*request) error {
	return verdict.New(verdict.NotRun, verdict.ReasonNotFound, "there is no such path")
}
