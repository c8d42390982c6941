package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	defaultTokensPerSecond = 1000
	defaultMaxRunning      = 32
	kvTokens               = 400_000
	// keptVersions is the number of weights that an engine keeps in memory.
	keptVersions = 2
	// loadRetry is the pause after a failed load from the weight store.
	loadRetry = 200 * time.Millisecond
	// stepExpiry ends a member's part in an attempt whose rank 0 is silent.
	stepExpiry = time.Second
)

// Reasons of refusals by engines.
const (
	ReasonWrongGroup    verdict.Reason = "wrong-group"
	ReasonOldGeneration verdict.Reason = "old-generation"
)

// Engine simulates one model engine.
type Engine struct {
	instance fleet.Instance
	pool     Pool
	registry *registrar
	faults   faultState
	client   *http.Client
	ctx      context.Context
	stop     context.CancelFunc

	mu   sync.Mutex
	boot string
	role fleet.Order
	// state is idle, loading or ready; leaving is shown instead of it.
	state   fleet.EngineState
	leaving bool
	// releasing means that the role ends when nothing runs any more.
	releasing bool
	highest   fleet.Generation
	// roleCount tells a load whether its role is still the current one.
	roleCount int
	loaded    []string
	runs      map[string]*run
	waiting   []*run
	executing int
	// steps holds the last step of the attempts that the engine takes part in
	// as a member.
	steps   map[string]time.Time
	cache   *prefixCache
	shown   fleet.Report
	shownAt time.Time
	last    *run
	record  EngineRecord
	stepOf  map[string]int
}

// NewEngine returns an idle engine for an entry of the instance list.
func NewEngine(instance fleet.Instance, pool Pool, registry *registrar) *Engine {
	if pool.TokensPerSecond <= 0 {
		pool.TokensPerSecond = defaultTokensPerSecond
	}
	if pool.MaxRunning <= 0 {
		pool.MaxRunning = defaultMaxRunning
	}
	e := &Engine{
		instance: instance, pool: pool, registry: registry,
		client: &http.Client{Timeout: stepTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		runs:   make(map[string]*run), stepOf: make(map[string]int),
		record: EngineRecord{Instance: instance.ID},
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.Restart()
	return e
}

// Close ends loads and running requests.
func (e *Engine) Close() {
	e.stop()
	e.client.CloseIdleConnections()
}

// Restart simulates a restart of the process: role, weights, cache and running
// requests are lost.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abort("engine restarted")
	e.boot = uuid.NewString()
	e.highest, e.loaded, e.leaving = 0, nil, false
	e.steps = make(map[string]time.Time)
	e.cache = newPrefixCache()
	e.shownAt = time.Time{}
	e.become(fleet.Order{}, fleet.EngineIdle)
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	slowed := func(pattern string, h http.HandlerFunc) { mux.HandleFunc(pattern, e.faults.slowed(h)) }
	slowed("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, e.Report())
	})
	slowed("PUT /v1/role", e.serveRole)
	mux.HandleFunc("POST /v1/completions", e.arrival(e.faults.slowed(e.serveCompletion)))
	slowed("DELETE /v1/attempts/{id}", e.serveCancel)
	slowed("POST /v1/steps", e.serveStep)
	slowed("GET /v1/cache-events", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		events := CacheEvents{Boot: e.boot, Events: e.cache.after(queryNumber(r, "after"))}
		e.mu.Unlock()
		answer(w, http.StatusOK, events)
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, e.Record())
	})
	mux.HandleFunc("POST /control/faults", e.faults.serveSet)
	mux.HandleFunc("POST /control/leave", leaveHandler(e.leave))
	mux.HandleFunc("POST /control/restart", func(w http.ResponseWriter, _ *http.Request) {
		e.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Record returns what happened so far.
func (e *Engine) Record() EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Roles, r.Requests, r.Steps = slices.Clone(r.Roles), slices.Clone(r.Requests), slices.Clone(r.Steps)
	return r
}

// Report returns the engine's status; its load figures lag.
func (e *Engine) Report() fleet.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	if time.Since(e.shownAt) >= time.Duration(e.pool.StatusLagMs)*time.Millisecond {
		e.shownAt = time.Now()
		e.shown = fleet.Report{Running: len(e.runs) + len(e.steps), FreeKVTokens: kvTokens}
		for _, r := range e.runs {
			e.shown.FreeKVTokens -= PromptTokens(r.request.Prompt) + r.request.MaxTokens
		}
		for _, r := range e.waiting {
			e.shown.QueuedPromptTokens += PromptTokens(r.request.Prompt)
		}
	}
	r := e.shown
	r.Instance, r.Boot, r.State = e.instance.ID, e.boot, e.state
	r.Group, r.Generation, r.Rank, r.Size = e.role.Group, e.role.Generation, e.role.Rank, e.role.Size
	r.Service, r.Version = e.role.Service, e.role.Version
	r.LoadedVersions = slices.Clone(e.loaded)
	if e.leaving {
		r.State = fleet.EngineLeaving
	}
	return r
}

// leave shows the engine as leaving in its report and in the instance list; it
// finishes what runs and refuses new requests.
func (e *Engine) leave(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	instance := e.instance
	e.mu.Unlock()
	instance.State = fleet.InstanceLeaving
	return e.registry.put(ctx, instance)
}

// busy reports whether the engine has a role or runs something.
func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return e.role.Group != "" || len(e.runs) > 0
}

func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	var order fleet.Order
	if !input(w, r, &order) {
		return
	}
	if !e.obey(order) {
		refuse(w, http.StatusConflict, ReasonOldGeneration, "the generation is older than the highest one seen")
		return
	}
	answer(w, http.StatusOK, e.Report())
}

// obey takes or gives up a role; false means that the order was refused.
func (e *Engine) obey(order fleet.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	if !e.pool.IgnoreFencing && order.Generation < e.highest {
		return false
	}
	e.highest = max(e.highest, order.Generation)
	switch {
	case order.Group == "":
		// The role stays until running requests end.
		e.releasing = e.role.Group != ""
		e.settle()
	case same(order, e.role):
		e.releasing = false
	default:
		e.assign(order)
	}
	return true
}

func same(a, b fleet.Order) bool {
	return a.Group == b.Group && a.Generation == b.Generation && a.Rank == b.Rank && a.Size == b.Size &&
		a.Service == b.Service && a.Version == b.Version && slices.Equal(a.Members, b.Members)
}

// assign replaces the role at once; what runs in the old role fails.
func (e *Engine) assign(order fleet.Order) {
	e.abort("engine has another role")
	e.steps = make(map[string]time.Time)
	weights := order.Service + "/" + order.Version
	if slices.Contains(e.loaded, weights) {
		e.become(order, fleet.EngineReady)
		return
	}
	e.become(order, fleet.EngineLoading)
	go e.load(order, weights, e.roleCount)
}

// load gets the weights and makes the engine ready if its role is unchanged.
func (e *Engine) load(order fleet.Order, weights string, roleCount int) {
	for e.registry.load(e.ctx, order.Service, order.Version) != nil {
		wait.For(e.ctx, loadRetry)
		if e.ctx.Err() != nil || !e.holds(roleCount) {
			return
		}
	}
	wait.For(e.ctx, time.Duration(e.pool.LoadMs)*time.Millisecond)
	e.faults.awaitThaw(e.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil || e.roleCount != roleCount {
		return
	}
	e.loaded = append(e.loaded, weights)
	if len(e.loaded) > keptVersions {
		e.loaded = e.loaded[1:]
	}
	e.become(order, fleet.EngineReady)
}

func (e *Engine) holds(roleCount int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roleCount == roleCount
}

// become records a role change; e.mu is held.
func (e *Engine) become(role fleet.Order, state fleet.EngineState) {
	if !same(role, e.role) || e.role.Group == "" {
		e.releasing = false
		e.roleCount++
	}
	e.role, e.state = role, state
	e.record.Roles = append(e.record.Roles, RoleChange{
		At: time.Now(), Group: role.Group, Generation: role.Generation, Rank: role.Rank,
		Version: role.Version, State: state,
	})
	change := e.record.Roles[len(e.record.Roles)-1]
	e.registry.events.add(Event{Kind: EventRole, Instance: e.instance.ID, Role: &change})
}

// settle ends expired steps and a release that nothing holds up any more; e.mu
// is held.
func (e *Engine) settle() {
	for attempt, at := range e.steps {
		if time.Since(at) > stepExpiry {
			delete(e.steps, attempt)
		}
	}
	if e.releasing && len(e.runs)+len(e.steps) == 0 {
		e.become(fleet.Order{}, fleet.EngineIdle)
	}
}
