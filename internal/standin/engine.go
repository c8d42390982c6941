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
	// defaultTokensPerSecond replaces a Pool.TokensPerSecond of 0.
	defaultTokensPerSecond = 1000
	// defaultMaxRunning replaces a Pool.MaxRunning of 0.
	defaultMaxRunning = 32
	// kvCacheTokens is the size of an engine's KV cache.
	kvCacheTokens = 400_000
	// maxLoadedVersions is the number of model versions whose weights an engine
	// keeps in memory.
	maxLoadedVersions = 2
	// loadRetryInterval is the pause after a failed load from the weight store.
	loadRetryInterval = 200 * time.Millisecond
	// stepExpiry is the time without a step from rank 0 after which a member's
	// participation in an attempt ends.
	stepExpiry = time.Second
)

// Reasons for which an engine refuses a request.
const (
	// ReasonWrongGroup is given to a completion that names another group or
	// generation than the engine's, or that was not sent to rank 0.
	ReasonWrongGroup verdict.Reason = "wrong-group"
	// ReasonOldGeneration is given to a command with a generation lower than the
	// highest one that the engine has seen.
	ReasonOldGeneration verdict.Reason = "old-generation"
)

// Engine simulates one model engine, which serves completions as rank 0 of a
// group or takes part in collective steps as one of its other members.
type Engine struct {
	instance fleet.Instance
	pool     Pool
	platform *platformClient
	faults   faultState
	client   *http.Client
	ctx      context.Context
	stop     context.CancelFunc

	mu sync.Mutex
	// boot is a random ID that changes with each restart.
	boot string
	// role is the command in force; an empty group means none.
	role fleet.Command
	// state is idle, loading or ready. If leaving is true, reports show the state
	// as leaving instead.
	state   fleet.EngineState
	leaving bool
	// releasing is true if the role ends once all completions and steps have ended.
	releasing bool
	// highestGeneration is the highest generation of a command since the restart.
	highestGeneration fleet.Generation
	// roleSequence increases with each role, so that a load can check that its role
	// is still the current one.
	roleSequence int
	// loaded are the weights in memory as "service/version", oldest first.
	loaded []string
	// completions are the queued and executing completions by attempt.
	completions map[string]*completion
	// waiting are the queued ones, and executing is the number of the others.
	waiting   []*completion
	executing int
	// activeSteps holds the time of the last step of each attempt in which the
	// engine takes part as a member.
	activeSteps map[string]time.Time
	cache       *prefixCache
	// loadFigures holds only the load figures of a report, which are refreshed
	// every StatusLagMs.
	loadFigures   fleet.Report
	loadFiguresAt time.Time
	// lastEnded is the completion that ended last, whose response a fault may send
	// in place of another.
	lastEnded *completion
	record    EngineRecord
	// stepIndex is each attempt's index in record.Steps.
	stepIndex map[string]int
}

// NewEngine returns an idle engine for an entry of the instance list.
func NewEngine(instance fleet.Instance, pool Pool, platform *platformClient) *Engine {
	if pool.TokensPerSecond <= 0 {
		pool.TokensPerSecond = defaultTokensPerSecond
	}
	if pool.MaxRunning <= 0 {
		pool.MaxRunning = defaultMaxRunning
	}
	e := &Engine{
		instance: instance, pool: pool, platform: platform,
		client:      &http.Client{Timeout: stepTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		completions: make(map[string]*completion), stepIndex: make(map[string]int),
		record: EngineRecord{Instance: instance.ID},
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.Restart()
	return e
}

// Close cancels loads and running requests.
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
	e.highestGeneration, e.loaded, e.leaving = 0, nil, false
	e.activeSteps = make(map[string]time.Time)
	e.cache = newPrefixCache()
	e.loadFiguresAt = time.Time{}
	e.setRole(fleet.Command{}, fleet.EngineIdle)
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	handleDelayed := func(pattern string, h http.HandlerFunc) { mux.HandleFunc(pattern, e.faults.withDelay(h)) }
	handleDelayed("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Report())
	})
	handleDelayed("PUT /v1/role", e.serveRole)
	mux.HandleFunc("POST /v1/completions", e.recordArrival(e.faults.withDelay(e.serveCompletion)))
	handleDelayed("DELETE /v1/attempts/{id}", e.serveCancel)
	handleDelayed("POST /v1/steps", e.serveStep)
	handleDelayed("GET /v1/cache-events", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		events := CacheEvents{Boot: e.boot, Events: e.cache.after(queryUint(r, "after"))}
		e.mu.Unlock()
		writeJSON(w, http.StatusOK, events)
	})
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Record())
	})
	mux.HandleFunc("POST /control/faults", e.faults.serveSet)
	mux.HandleFunc("POST /control/leave", leaveHandler(e.leave))
	mux.HandleFunc("POST /control/restart", func(w http.ResponseWriter, _ *http.Request) {
		e.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Record returns a copy of the engine's record.
func (e *Engine) Record() EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Roles, r.Requests, r.Steps = slices.Clone(r.Roles), slices.Clone(r.Requests), slices.Clone(r.Steps)
	return r
}

// Report returns the engine's status. Its load figures may be up to StatusLagMs
// old.
func (e *Engine) Report() fleet.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireSteps()
	if time.Since(e.loadFiguresAt) >= time.Duration(e.pool.StatusLagMs)*time.Millisecond {
		e.loadFiguresAt = time.Now()
		e.loadFigures = fleet.Report{Running: len(e.completions) + len(e.activeSteps), FreeKVTokens: kvCacheTokens}
		for _, r := range e.completions {
			e.loadFigures.FreeKVTokens -= PromptTokens(r.request.Prompt) + r.request.MaxTokens
		}
		for _, r := range e.waiting {
			e.loadFigures.QueuedPromptTokens += PromptTokens(r.request.Prompt)
		}
	}
	r := e.loadFigures
	r.Instance, r.Boot, r.State = e.instance.ID, e.boot, e.state
	r.Group, r.Generation, r.Rank, r.Size = e.role.Group, e.role.Generation, e.role.Rank, e.role.Size
	r.Service, r.Version = e.role.Service, e.role.Version
	r.LoadedVersions = slices.Clone(e.loaded)
	if e.leaving {
		r.State = fleet.EngineLeaving
	}
	return r
}

// leave marks the engine as leaving in its report and in the instance list. It
// finishes running requests and refuses new ones.
func (e *Engine) leave(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	instance := e.instance
	e.mu.Unlock()
	instance.State = fleet.InstanceLeaving
	return e.platform.put(ctx, instance)
}

// busy reports whether the engine has a role or running requests.
func (e *Engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireSteps()
	return e.role.Group != "" || len(e.completions) > 0
}

// serveRole handles PUT /v1/role.
func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	var command fleet.Command
	if !readJSON(w, r, &command) {
		return
	}
	if !e.applyCommand(command) {
		writeNotRun(w, http.StatusConflict, ReasonOldGeneration, "the generation is older than the highest one seen")
		return
	}
	writeJSON(w, http.StatusOK, e.Report())
}

// applyCommand assigns or releases a role. It returns false if it refuses the command
// because of its old generation.
func (e *Engine) applyCommand(command fleet.Command) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireSteps()
	if !e.pool.IgnoreFencing && command.Generation < e.highestGeneration {
		return false
	}
	e.highestGeneration = max(e.highestGeneration, command.Generation)
	switch {
	case command.Group == "":
		// The role stays until running requests end.
		e.releasing = e.role.Group != ""
		e.expireSteps()
	case sameRole(command, e.role):
		e.releasing = false
	default:
		e.assign(command)
	}
	return true
}

// sameRole reports whether two commands assign the same role.
func sameRole(a, b fleet.Command) bool {
	return a.Group == b.Group && a.Generation == b.Generation && a.Rank == b.Rank && a.Size == b.Size &&
		a.Service == b.Service && a.Version == b.Version && slices.Equal(a.Members, b.Members)
}

// assign replaces the role at once; requests running in the old role fail. e.mu
// must be held.
func (e *Engine) assign(command fleet.Command) {
	e.abort("engine has another role")
	e.activeSteps = make(map[string]time.Time)
	weights := command.Service + "/" + command.Version
	if slices.Contains(e.loaded, weights) {
		e.setRole(command, fleet.EngineReady)
		return
	}
	e.setRole(command, fleet.EngineLoading)
	go e.load(command, weights, e.roleSequence)
}

// load loads the weights, retrying until the weight store admits the load, and
// makes the engine ready if its role is unchanged.
func (e *Engine) load(command fleet.Command, weights string, roleSequence int) {
	for e.platform.load(e.ctx, command.Service, command.Version) != nil {
		wait.For(e.ctx, loadRetryInterval)
		if e.ctx.Err() != nil || !e.roleUnchanged(roleSequence) {
			return
		}
	}
	wait.For(e.ctx, time.Duration(e.pool.LoadMs)*time.Millisecond)
	e.faults.waitWhileFrozen(e.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil || e.roleSequence != roleSequence {
		return
	}
	e.loaded = append(e.loaded, weights)
	if len(e.loaded) > maxLoadedVersions {
		e.loaded = e.loaded[1:]
	}
	e.setRole(command, fleet.EngineReady)
}

// roleUnchanged reports whether roleSequence is that of the current role.
func (e *Engine) roleUnchanged(roleSequence int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roleSequence == roleSequence
}

// setRole sets and records the role and the state. e.mu must be held.
func (e *Engine) setRole(role fleet.Command, state fleet.EngineState) {
	if !sameRole(role, e.role) || e.role.Group == "" {
		e.releasing = false
		e.roleSequence++
	}
	e.role, e.state = role, state
	e.record.Roles = append(e.record.Roles, RoleChange{
		At: time.Now(), Group: role.Group, Generation: role.Generation, Rank: role.Rank,
		Version: role.Version, State: state,
	})
	change := e.record.Roles[len(e.record.Roles)-1]
	e.platform.events.add(Event{Kind: EventRole, Instance: e.instance.ID, Role: &change})
}

// expireSteps removes expired steps, and completes a pending release if no
// completions or steps remain. e.mu must be held.
func (e *Engine) expireSteps() {
	for attempt, at := range e.activeSteps {
		if time.Since(at) > stepExpiry {
			delete(e.activeSteps, attempt)
		}
	}
	if e.releasing && len(e.completions)+len(e.activeSteps) == 0 {
		e.setRole(fleet.Command{}, fleet.EngineIdle)
	}
}
