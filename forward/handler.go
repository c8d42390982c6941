package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// defaultPatience is the time of a request that states none, on a route that
	// states none.
	defaultPatience = 30 * time.Second
	// defaultMaxBody bounds a body, in bytes, before the configuration is known.
	defaultMaxBody = 4 << 20
)

// Config configures a Handler.
type Config struct {
	// RetryRatio is the number of repeats allowed for each request.
	RetryRatio float64
	// RetryAllowance is the number of repeats that all nodes together may make
	// beyond that, within one window of the platform's accounting.
	RetryAllowance float64
	// AnswerBytes bounds the answers that are held until they are whole; 0 for the
	// default.
	AnswerBytes int64
}

// Parts are what a Handler works with.
type Parts struct {
	Configuration *blackboard.Section[catalog.Configuration]
	Dispatcher    *Dispatcher
	Connections   *upstream.Pool
	Peers         Peers
	Codec         Codec
	Logger        log.Logger
	Registry      metrics.Registry
}

// Handler serves the requests of callers.
type Handler struct {
	cfg Config
	Parts
	metrics  handlerMetrics
	inFlight atomic.Int64
	memory   *answerMemory
	// leavingSince is when this node began to stop, in Unix nanoseconds.
	leavingSince atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// NewHandler returns a handler.
func NewHandler(cfg Config, parts Parts) *Handler {
	return &Handler{cfg: cfg, Parts: parts, metrics: newHandlerMetrics(parts.Registry),
		memory: newAnswerMemory(cfg.AnswerBytes), budgets: map[string]*retry.Budget{}}
}

// SetRetryLimits replaces the limits of the configuration.
func (h *Handler) SetRetryLimits(ratio, allowance float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cfg.RetryRatio != ratio || h.cfg.RetryAllowance != allowance {
		h.cfg.RetryRatio, h.cfg.RetryAllowance = ratio, allowance
		clear(h.budgets)
	}
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// SetLeaving lets every answer end its connection, so that callers move to
// other nodes.
func (h *Handler) SetLeaving() { h.leavingSince.Store(time.Now().UnixNano()) }

// call is one request in progress.
type call struct {
	Meta
	request      *http.Request
	writer       http.ResponseWriter
	route        *catalog.Route
	organisation *catalog.Organisation
	service      *catalog.Service
	target       string
	body         []byte
	started      time.Time
	deadline     time.Time
	// goalAt is the time at which the answer, or its first event, is late.
	goalAt time.Time
	// mayHaveRun is set when a backend server may have run the request.
	mayHaveRun bool
	// tried names the instances that were sent the request.
	tried map[string]bool
	// firstAfter is the time to the first event.
	firstAfter time.Duration
	// runs counts the attempts that may have run, sends counts all.
	runs, sends int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.leavingSince.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	c := &call{Meta: h.Codec.DecodeRequest(r.Header), request: r, writer: w, started: time.Now(),
		tried: map[string]bool{}}
	if err := h.admit(c); err != nil {
		h.refuse(c, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.route.Kind == catalog.Streaming {
		h.stream(ctx, c)
		return
	}
	h.plain(ctx, c)
}

// admit matches the request and reads its body. Its errors are final answers.
func (h *Handler) admit(c *call) *verdict.Error {
	configuration := h.Configuration.Load()
	if configuration == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed, "no configuration is known yet").
			WithRetryAfter(noConfigurationRetry)
	}
	path := c.request.URL.EscapedPath()
	if c.route = configuration.Route(c.request.Host, path); c.route == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotFound, "no route for the host and path")
	}
	if c.route.Kind == catalog.Streaming && h.stopsSoon(c.started) {
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "this node stops").WithRetryAfter(drainingRetry)
	}
	if err := h.authenticate(c, configuration); err != nil {
		return err
	}
	if c.ID == "" {
		return verdict.BadField("request id", "the header is missing")
	}
	c.setTimes()
	if err := c.readBody(configuration.Limits.MaxBodyBytes); err != nil {
		return err
	}
	if c.service = configuration.Service(c.route.PickTarget()); c.service == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "the route's service is not configured")
	}
	c.target = c.request.URL.RequestURI()
	h.budget(c.service.Name).AddRequest()
	return nil
}

// stopsSoon reports whether a stream that begins now may outlive this node.
func (h *Handler) stopsSoon(now time.Time) bool {
	since := h.leavingSince.Load()
	return since != 0 && now.UnixNano()-since > int64(lastStreamStart)
}

func (h *Handler) authenticate(c *call, configuration *catalog.Configuration) *verdict.Error {
	if c.HasKey {
		c.organisation = configuration.OrganisationByKey(c.Key)
	}
	if c.organisation == nil && !c.route.Anonymous && configuration.HasOrganisations() {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "the key is not known")
	}
	return nil
}

// setTimes derives the deadline and the goal of the request.
func (c *call) setTimes() {
	limit := c.route.Timeout
	if limit <= 0 {
		limit = defaultPatience
	}
	if c.HasPatience {
		limit = min(limit, c.Patience)
	}
	c.deadline = c.started.Add(limit)
	c.goalAt = c.started.Add(c.route.LatencyGoal)
}

func (c *call) readBody(limit int64) *verdict.Error {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.request.ContentLength > limit {
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body has more than %d bytes", limit)
	}
	// A caller that sends its body slowly holds the connection for as long as it
	// would wait for the answer, at most.
	control := http.NewResponseController(c.writer)
	if err := control.SetReadDeadline(c.deadline); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInternal, "no deadline for the body").WithCause(err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		return verdict.BadField("body", "not readable").WithCause(err)
	}
	c.body = body
	// Beyond the body, the server watches for the caller's leaving without an end.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInternal, "the deadline of the body stays").WithCause(err)
	}
	return nil
}

// budget returns this node's part of the repeats that a service may receive.
func (h *Handler) budget(service string) *retry.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	nodes := max(h.Peers.Nodes(), minBudgetNodes)
	burst := max(int(h.cfg.RetryAllowance*budgetShare/float64(nodes)), 1)
	b := h.budgets[service]
	if b == nil {
		b = retry.NewBudget(int(h.cfg.RetryRatio*budgetShare*100), burst)
		h.budgets[service] = b
	}
	// Nodes come and go, and a new one knows few others.
	b.SetBurst(burst)
	return b
}

const (
	// budgetShare is the part of the allowed repeats that nodes plan with. The
	// rest covers requests that arrive in another window than their repeats.
	budgetShare = 0.8
	// minBudgetNodes bounds a node's share while it knows few others.
	minBudgetNodes = 3
	// lastStreamStart is the time after the begin of a stop at which streams are
	// refused. Long streams take about four seconds, and the platform ends a
	// process after eight.
	lastStreamStart = 3 * time.Second
	// drainingRetry sends a caller to another node at once.
	drainingRetry = 20 * time.Millisecond
	// noConfigurationRetry is the time for a new node to learn the configuration.
	noConfigurationRetry = 500 * time.Millisecond
)
