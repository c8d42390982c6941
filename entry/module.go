package entry

import (
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/evacuation"
	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/formation"
	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/internal/connlimit"
	"github.com/rattanlanding/rattanlanding/internal/suspend"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/reach"
	"github.com/rattanlanding/rattanlanding/throttle"
	"github.com/rattanlanding/rattanlanding/upstream"
)

const (
	// storeTimeout limits one call to the store, in addition to the wait of a watch. The
	// store responds in milliseconds, and in a quarter of a second when it is slow.
	storeTimeout = 900 * time.Millisecond
	// watchWait is how long the store may hold a watch request without changes (long
	// polling). A dead connection is detected 0.45 s after that, well within the two
	// seconds in which a change has to be in force on the nodes that follow this one's
	// copy.
	watchWait = 700 * time.Millisecond
	// leaseDuration is the duration of the lease for forming groups.
	leaseDuration = 2 * time.Second
	// leaseRenewal is the interval at which the lease for forming groups is renewed.
	leaseRenewal = 600 * time.Millisecond
	// leaseStablePeriod keeps the lease at its holder: moving it has no benefit, and a
	// new holder has to start from the instance list alone.
	leaseStablePeriod = 24 * time.Hour
	// leaseWatchers is one more than the number of nodes that may fail at the same time
	// as the holder for independent reasons.
	leaseWatchers = 3
	// formationShard is the name of the lease. One holder decides for all domains.
	formationShard = "formation"
	// gcPercent is the garbage collection target. It saves processor time at the cost
	// of memory, since the live heap is small.
	gcPercent = 300
	// heapShare is the fraction of the allowed memory that the heap may use.
	heapShare = 0.7
)

// New returns the fx application of one node.
func New(s Settings, file SettingsFile, logger log.Logger) *fx.App {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapShare))
	return fx.New(
		fx.Supply(s, file),
		fx.Provide(func() log.Logger { return logger }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.StopTime),
		Module,
	)
}

// Module provides all components of a node. It needs Settings and a log.Logger.
var Module = fx.Module("entry",
	fx.Provide(
		func() metrics.Registry { return metrics.NewRegistry() },
		func() *blackboard.Board { return &blackboard.Board{} },
		forward.NewTables,
		newStore,
		newRelay,
		newFollowers,
		newLinks,
		newPool,
		newGuard,
		newThrottle,
		newPlatformState,
		newStatus,
		newMemory,
		newConnectionLimiter,
		newHandler,
		newDocuments,
		newLeaseManager,
		newFormation,
		newQuarantineKeepers,
		newReloader,
		newInspector,
		newEvennessReporter,
		newDaemon,
	),
	fx.Invoke(func(l fx.Lifecycle, d *daemon) { l.Append(fx.Hook{OnStart: d.start, OnStop: d.stop}) }),
)

func newStore(s Settings, logger log.Logger, registry metrics.Registry) *platform.Store {
	return platform.NewStore(object.ClientConfig{
		Addresses: []string{s.PlatformAddress}, Timeout: storeTimeout, Registry: registry,
	}, logger)
}

// followers keep copies of the platform's documents up to date.
type followers struct {
	configurations, instances *follow.Follower
	// evacuations is nil if there are none in the deployment.
	evacuations *follow.Follower
}

func newRelay(s Settings, store *platform.Store, logger log.Logger) *relay {
	return &relay{store: store, settings: s, logger: log.With(logger, "component", "relay")}
}

func newFollowers(s Settings, r *relay, logger log.Logger) followers {
	f := followers{
		configurations: follow.New(follow.Config{Kind: platform.ConfigurationKind, Wait: watchWait}, r, logger),
		instances:      follow.New(follow.Config{Kind: platform.InstanceKind, Wait: watchWait}, r, logger),
	}
	if s.EvacuationTime > 0 {
		f.evacuations = follow.New(follow.Config{Kind: platform.EvacuationKind, Wait: evacuation.WatchWait(s.EvacuationTime)}, r, logger)
	}
	return f
}

func newPool(l *connlimit.Limiter, links *reach.Ledger) *upstream.Pool {
	return upstream.NewPool(upstream.Config{MaxConns: l.Max(), Dialled: links.Dialled})
}

// newLinks returns the state of the paths to backend servers.
func newLinks(logger log.Logger, registry metrics.Registry) *reach.Ledger {
	return reach.NewLedger(nil, logger, registry)
}

func newGuard(s Settings, logger log.Logger, registry metrics.Registry) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Config{Duration: s.QuarantineTime}, logger, registry)
}

func newThrottle(s Settings, logger log.Logger, registry metrics.Registry) *throttle.Registry {
	return throttle.NewRegistry(throttle.Config{ColdOverage: s.ColdOverage, ColdAllowance: s.ColdAllowance}, logger, registry)
}

func newPlatformState(s Settings, f followers, tables *forward.Tables, pool *upstream.Pool, t *throttle.Registry, logger log.Logger, registry metrics.Registry) *PlatformState {
	ps := &PlatformState{configurations: f.configurations, instances: f.instances, tables: tables, pool: pool, throttle: t, logger: logger, history: engine.NewHistory(),
		adopted: make(chan struct{}, 1), limitsCold: s.ColdOverage > 0}
	if f.evacuations != nil {
		ps.evacuations = newEvacuationState(f.evacuations, evacuation.NewLedger(s.EvacuationTime, logger, registry), logger)
	}
	return ps
}

// newStatus also creates the components that depend on each other: the mesh sends the
// state that the status returns, and the status uses the mesh's view of other nodes.
func newStatus(s Settings, ps *PlatformState, tables *forward.Tables, f followers, r *relay, q *quarantine.Guard, t *throttle.Registry, links *reach.Ledger, logger log.Logger, registry metrics.Registry) *status {
	st := &status{settings: s, platformState: ps, tables: tables, instances: f.instances, quarantine: q, links: links}
	st.mesh = mesh.New(mesh.Config{Node: s.Node, Address: s.PeerAddress, Seeds: s.seedAddresses()}, st.state, t, logger, registry)
	r.liveNodes = func() []*mesh.Node { return st.mesh.View().Live }
	st.dispatcher = forward.NewDispatcher(tables, st.mesh, s.FailureDomain, t)
	return st
}

func newMemory(s Settings, registry metrics.Registry) *memory.Budget {
	return memory.NewBudget(memory.Config{Bytes: s.MemoryBytes, Registry: registry})
}

func newConnectionLimiter(s Settings, budget *memory.Budget, registry metrics.Registry) *connlimit.Limiter {
	return connlimit.New(s.MaxDescriptors, budget, registry)
}

func newHandler(s Settings, ps *PlatformState, st *status, pool *upstream.Pool, budget *memory.Budget, logger log.Logger, registry metrics.Registry) *forward.Handler {
	return forward.NewHandler(
		forward.Config{RetryRatio: s.RetryRatio, RetryAllowance: s.RetryAllowance, BodyStallTime: s.BodyStallTime},
		forward.Dependencies{
			Memory:        budget,
			Configuration: &ps.Configuration, Dispatcher: st.dispatcher, Connections: pool, Peers: st.mesh, Detours: newDetours(st, logger), Quarantine: st.quarantine,
			Codec: platform.Codec{}, Logger: log.With(logger, "component", "forward"), Registry: registry,
		})
}

// newDetours returns the ways to backend servers through other nodes. The paths to these nodes
// have a ledger of their own, whose metrics would be mistaken for those of the other one.
func newDetours(st *status, logger log.Logger) *forward.Detours {
	peers := reach.NewLedger(nil, log.With(logger, "paths", "peers"), metrics.NewRegistry())
	live, domain := func() []*mesh.Node { return st.mesh.View().Live }, st.settings.FailureDomain
	return &forward.Detours{Links: st.links, Peers: peers, Connections: upstream.NewPool(upstream.Config{Dialled: peers.Dialled}),
		Nodes:    func() []string { return st.carriers.addresses(domain, live) },
		Stranded: func() int { return st.carriers.stranded(domain, live) }}
}

func newDocuments(s Settings, f followers, ps *PlatformState, st *status, logger log.Logger) *Documents {
	return &Documents{configurations: f.configurations, instances: f.instances, evacuations: f.evacuations, platformState: ps, view: st.mesh.View, failureDomain: s.FailureDomain,
		logger: log.With(logger, "component", "documents")}
}

func newLeaseManager(s Settings, store *platform.Store, board *blackboard.Board, st *status, logger log.Logger, registry metrics.Registry) *lease.Manager {
	return lease.New(lease.Config{
		Node: s.Node, Boot: strconv.FormatInt(st.mesh.Boot(), 10),
		Duration: leaseDuration, RenewInterval: leaseRenewal, CallTimeout: storeTimeout, HandoverDelay: leaseStablePeriod,
		Watchers: leaseWatchers, ExclusiveProcess: true,
	}, store, board, func() []string { return []string{formationShard} }, logger, registry)
}

func newFormation(s Settings, ps *PlatformState, st *status, board *blackboard.Board, logger log.Logger, registry metrics.Registry) *formation.Controller {
	commander := platform.NewCommander()
	return formation.NewController(formation.Config{FirstStart: s.FirstStart}, formation.Dependencies{
		Term:          func() (formation.Term, bool) { return formationTerm(board) },
		Configuration: &ps.Configuration, Roster: &ps.Roster, Demand: st.demand,
		Commander: commander, Prober: commander, SuspectingNodes: st.suspecting, Progress: st.progress, Logger: logger, Registry: registry,
	})
}

// formationTerm returns the term of the lease for forming groups, and whether this node
// holds the lease.
func formationTerm(board *blackboard.Board) (formation.Term, bool) {
	shards := board.Shards.Load()
	if shards == nil {
		return formation.Term{}, false
	}
	held, ok := shards.Held[formationShard]
	return formation.Term{Number: held.Epoch}, ok && held.ValidFor(time.Now(), suspend.Total()) > 0
}

func newQuarantineKeepers(store *platform.Store, st *status, board *blackboard.Board, logger log.Logger) quarantineKeepers {
	var keepers quarantineKeepers
	for k, key := range quarantineKeys {
		keepers[k] = &quarantineKeeper{ledger: st.quarantine.Ledger(quarantine.Kind(k)), key: key, store: store,
			logger: log.With(logger, "component", "quarantine", "object", key.Name),
			holds:  func() bool { _, holds := formationTerm(board); return holds }}
	}
	return keepers
}

func newReloader(s Settings, file SettingsFile, st *status, h *forward.Handler, logger log.Logger) *reloader {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return &reloader{path: file, current: s, mesh: st.mesh, handler: h, logger: logger, signals: signals}
}

func newInspector(st *status, h *forward.Handler, f followers, pool *upstream.Pool, budget *memory.Budget, registry metrics.Registry) *inspector {
	return &inspector{status: st, handler: h, followers: f, pool: pool, memory: budget, registry: registry}
}

func newEvennessReporter(st *status, logger log.Logger, registry metrics.Registry) *evennessReporter {
	return &evennessReporter{dispatcher: st.dispatcher, logger: log.With(logger, "component", "forward"), registry: registry}
}
