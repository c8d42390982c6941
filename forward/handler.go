package forward

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/estimate"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// defaultTimeout applies to a request without a timeout on a route without one.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody is the largest request body in bytes if the configuration sets
	// no limit.
	defaultMaxBody = 4 << 20
)

// Config configures a Handler.
type Config struct {
	// RetryRatio is the number of retries allowed per request.
	RetryRatio float64
	// RetryAllowance is the number of retries that all nodes together may make
	// beyond that, within one window of the platform's accounting.
	RetryAllowance float64
	// BodyStallTime is how long the body of a request may take for its next 16 KiB; 0 means
	// the default.
	BodyStallTime time.Duration
}

// Dependencies are the collaborators of a Handler.
type Dependencies struct {
	Configuration *blackboard.Section[catalog.Configuration]
	Dispatcher    *Dispatcher
	Connections   *upstream.Pool
	Peers         Peers
	// Detours are the ways to backend servers through other nodes; nil means none.
	Detours *Detours
	// Quarantine holds the requests and parts of prompts that crash engines; nil means an
	// empty one.
	Quarantine *quarantine.Guard
	// Memory is the memory for what the handler holds; nil means one of the default size.
	Memory   *memory.Budget
	Codec    Codec
	Logger   log.Logger
	Registry metrics.Registry
}

// Handler serves the requests of callers.
type Handler struct {
	cfg Config
	Dependencies
	metrics  handlerMetrics
	inFlight atomic.Int64
	// oversized is the memory for large heads and events. It is apart from that for
	// responses, so that servers that send endless ones don't keep others from theirs.
	oversized memory.Fixed
	// leaving is set once this node has begun to stop.
	leaving atomic.Pointer[leaving]
	// ending is cancelled when each request in progress must be answered.
	ending context.Context
	end    context.CancelFunc
	// crashChecks joins simultaneous checks of one engine.
	crashChecks singleflight.Group

	mu sync.Mutex
	// timeouts are the timeouts that callers send, by route.
	timeouts map[string]*estimate.Timeouts
	// budgets are the retry budgets by service.
	budgets map[string]*retry.Budget
}

// NewHandler returns a handler.
func NewHandler(cfg Config, deps Dependencies) *Handler {
	if deps.Quarantine == nil {
		deps.Quarantine = quarantine.NewGuard(quarantine.Config{}, deps.Logger, deps.Registry)
	}
	if deps.Memory == nil {
		deps.Memory = memory.NewBudget(memory.Config{Registry: deps.Registry})
	}
	cfg.BodyStallTime = cmp.Or(cfg.BodyStallTime, memory.DefaultBodyStallTime)
	h := &Handler{cfg: cfg, Dependencies: deps, metrics: newHandlerMetrics(deps.Registry),
		oversized: deps.Memory.Fixed(memory.Events), budgets: map[string]*retry.Budget{}, timeouts: map[string]*estimate.Timeouts{}}
	h.ending, h.end = context.WithCancel(context.Background())
	return h
}

// SetRetryLimits replaces the configured retry ratio and allowance.
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

// call is one request in progress.
type call struct {
	Meta
	request      *http.Request
	writer       http.ResponseWriter
	route        *catalog.Route
	organisation *catalog.Organisation
	service      *catalog.Service
	target       string
	// body is the body of the request; nil until it was read.
	body *memory.Buffer
	// identity is equal for requests that are the same but for their request ID; empty until
	// the body was read.
	identity string
	started  time.Time
	// deadline is when the request must be answered: when the caller gives up, or earlier
	// if the node stops.
	deadline time.Time
	// callerDeadline is when the caller gives up.
	callerDeadline time.Time
	// goalAt is the time after which the response, or its first event, is late.
	goalAt time.Time
	// mayHaveRun is true if a backend server may have run the request.
	mayHaveRun bool
	// tried holds the IDs of the instances that were sent the request.
	tried map[string]bool
	// firstEventDelay is the time from the request to its first event.
	firstEventDelay time.Duration
	// runs is the number of attempts that may have run.
	runs int
	// brokenAttempts is the number of attempts whose connection broke or whose engine stalled.
	brokenAttempts int
	// sends is the number of all attempts.
	sends int
	// trial is true if the request is in quarantine and sent once all the same.
	trial bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.closeIfLeaving(w)
	c := &call{Meta: h.Codec.DecodeRequest(r.Header), request: r, writer: w, started: time.Now(),
		tried: map[string]bool{}}
	if !h.Memory.BeginRequest() {
		h.refuseUnread(c, h.noMemoryError(memory.ErrNoMemory))
		return
	}
	defer h.Memory.EndRequest()
	defer c.releaseBody()
	if err := h.admit(c); err != nil {
		h.refuseUnread(c, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(h.ending, cancel)()
	if c.route.Kind == catalog.Streaming {
		h.stream(ctx, c)
		return
	}
	h.plain(ctx, c)
}

// admit matches the request to a route, authenticates it and reads its body. Its
// errors are sent to the caller without a retry.
func (h *Handler) admit(c *call) *verdict.Error {
	configuration := h.Configuration.Load()
	if configuration == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed, "no configuration received yet").
			WithRetryAfter(noConfigurationRetry)
	}
	path := c.request.URL.EscapedPath()
	if c.route = configuration.Route(c.request.Host, path); c.route == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotFound, "no route for the host and path")
	}
	if err := h.authenticate(c, configuration); err != nil {
		return err
	}
	if c.ID == "" {
		return verdict.BadField("request id", "the header is missing")
	}
	if err := h.checkQuarantine(c); err != nil {
		return err
	}
	c.setTimes()
	if c.service = configuration.Service(c.route.PickTarget()); c.service == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "the service of route %s is not configured", c.route.Name)
	}
	h.countReturn(c)
	if _, err := h.latestStart(c); err != nil {
		return err
	}
	if err := h.readBody(c, configuration.Limits.MaxBodyBytes); err != nil {
		return err
	}
	c.target = c.request.URL.RequestURI()
	c.identity = c.identify()
	c.trial = h.Quarantine.TakeTrial(c.subject())
	if err := h.checkQuarantine(c); err != nil {
		return err
	}
	h.budget(c.service.Name).AddRequest()
	return nil
}

func (h *Handler) authenticate(c *call, configuration *catalog.Configuration) *verdict.Error {
	if c.HasKey {
		c.organisation = configuration.OrganisationByKey(c.Key)
	}
	if c.organisation == nil && !c.route.Anonymous && configuration.HasOrganisations() {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "no organisation owns the key")
	}
	return nil
}

// setTimes sets the deadline and the latency goal of the request.
func (c *call) setTimes() {
	limit := c.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if c.HasTimeout {
		limit = min(limit, c.Timeout)
	}
	c.callerDeadline = c.started.Add(limit)
	c.deadline = c.callerDeadline
	c.goalAt = c.started.Add(c.route.LatencyGoal)
}

// countReturn finds from what is left of the caller's timeout when the caller first asked, and
// sets the goal from then. Only the admission to model engines depends on it.
func (h *Handler) countReturn(c *call) {
	if !c.HasTimeout || c.service.Engine == nil || !c.service.Engine.PredictsFirstEvent() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.timeouts[c.route.Name]
	if t == nil {
		t = &estimate.Timeouts{}
		h.timeouts[c.route.Name] = t
	}
	c.goalAt = c.goalAt.Add(-t.Add(c.Timeout))
}

// budget returns this node's share of the retry budget of a service.
func (h *Handler) budget(service string) *retry.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	nodes := max(h.Peers.Nodes(), minBudgetNodes)
	burst := max(int(h.cfg.RetryAllowance*budgetFraction/float64(nodes)), 1)
	b := h.budgets[service]
	if b == nil {
		b = retry.NewBudget(int(h.cfg.RetryRatio*budgetFraction*100), burst)
		h.budgets[service] = b
	}
	// The number of nodes changes, and a new node has discovered few others.
	b.SetBurst(burst)
	return b
}

const (
	// budgetFraction is the fraction of the allowed retries that nodes use. The rest
	// covers requests that arrive in another accounting window than their retries.
	budgetFraction = 0.8
	// minBudgetNodes is the smallest number of nodes that the allowance is divided by,
	// for a node that has discovered few others.
	minBudgetNodes = 3
	// drainingRetry is the time after which a caller may retry at another node:
	// almost at once.
	drainingRetry = 20 * time.Millisecond
	// writeGrace is how long after a request's deadline its response may still be written.
	// A caller that doesn't read would otherwise hold a slot and memory for good.
	writeGrace = time.Second
	// noConfigurationRetry is the time that a new node takes to receive the
	// configuration.
	noConfigurationRetry = 500 * time.Millisecond
)
