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
	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/formation"
	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/upstream"
)

const (
	// answerMemoryPart divides the process's memory into the part that answers may take
	// until they are whole.
	answerMemoryPart = 8
	// storeTimeout bounds one call to the store beside the time of a watch. The
	// store answers in milliseconds, and in a quarter of a second when it is slow.
	storeTimeout = 900 * time.Millisecond
	// watchWait is how long the store holds a watch back. A connection that went
	// silent is noticed 0.45 s after that, well within the two seconds in which a
	// change has to be in force on the nodes that follow this one's copy.
	watchWait = 700 * time.Millisecond
	// leaseDuration and leaseRenewal are those of the lease for forming groups.
	leaseDuration = 2 * time.Second
	leaseRenewal  = 600 * time.Millisecond
	// leaseStable keeps the lease where it is: nothing is gained by moving it, and
	// a new holder starts with the list alone.
	leaseStable = 24 * time.Hour
	// leaseWatchers is one more than the nodes that may be lost at once beside the
	// holder for no reason in common.
	leaseWatchers = 3
	// formationShard is the lease's name. One holder decides for all domains.
	formationShard = "formation"
	// collectorPercent trades processor time for memory: the live heap is small.
	collectorPercent = 300
	// memoryShare is the part of the allowed memory that the heap may use.
	memoryShare = 0.6
)

// New returns the application of one node.
func New(s Settings, file SettingsFile, logger log.Logger) *fx.App {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	return fx.New(
		fx.Supply(s, file),
		fx.Provide(func() log.Logger { return logger }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.StopTime),
		Module,
	)
}

// Module provides every part of a node. It needs Settings and a log.Logger.
var Module = fx.Module("entry",
	fx.Provide(
		func() metrics.Registry { return metrics.NewRegistry() },
		func() *blackboard.Board { return &blackboard.Board{} },
		forward.NewTables,
		newStore,
		newRelay,
		newFollowers,
		newPool,
		newWorld,
		newStatus,
		newHandler,
		newDocuments,
		newLeases,
		newFormation,
		newReloader,
		newInspector,
		newDaemon,
	),
	fx.Invoke(func(l fx.Lifecycle, d *daemon) { l.Append(fx.Hook{OnStart: d.start, OnStop: d.stop}) }),
)

func newStore(s Settings, registry metrics.Registry) *platform.Store {
	return platform.NewStore(object.ClientConfig{
		Addresses: []string{s.PlatformAddress}, Timeout: storeTimeout, Registry: registry,
	})
}

// followers keep the platform's documents.
type followers struct {
	configurations, instances *follow.Follower
}

func newRelay(s Settings, store *platform.Store, logger log.Logger) *relay {
	return &relay{store: store, settings: s, logger: log.With(logger, "component", "relay")}
}

func newFollowers(r *relay, logger log.Logger) followers {
	return followers{
		configurations: follow.New(follow.Config{Kind: platform.ConfigurationKind, Wait: watchWait}, r, logger),
		instances:      follow.New(follow.Config{Kind: platform.InstanceKind, Wait: watchWait}, r, logger),
	}
}

func newPool() *upstream.Pool { return upstream.NewPool(upstream.Config{}) }

func newWorld(f followers, tables *forward.Tables, pool *upstream.Pool, logger log.Logger) *World {
	return &World{configurations: f.configurations, instances: f.instances, tables: tables, pool: pool, logger: logger}
}

// newStatus also makes the parts that know each other: the mesh tells what the
// status says, and the status names the nodes that the mesh hears.
func newStatus(s Settings, w *World, tables *forward.Tables, f followers, r *relay, logger log.Logger, registry metrics.Registry) *status {
	st := &status{settings: s, world: w, tables: tables, instances: f.instances}
	st.mesh = mesh.New(mesh.Config{Node: s.Node, Address: s.PeerAddress, Seeds: s.seedAddresses()}, st.state, logger, registry)
	r.live = func() []*mesh.Node { return st.mesh.View().Live }
	st.dispatcher = forward.NewDispatcher(tables, st.mesh, s.FailureDomain)
	return st
}

func newHandler(s Settings, w *World, st *status, pool *upstream.Pool, logger log.Logger, registry metrics.Registry) *forward.Handler {
	return forward.NewHandler(
		forward.Config{RetryRatio: s.RetryRatio, RetryAllowance: s.RetryAllowance, AnswerBytes: s.MemoryBytes / answerMemoryPart},
		forward.Parts{
			Configuration: &w.Configuration, Dispatcher: st.dispatcher, Connections: pool, Peers: st.mesh,
			Codec: platform.Codec{}, Logger: log.With(logger, "component", "forward"), Registry: registry,
		})
}

func newDocuments(s Settings, f followers, w *World, st *status, logger log.Logger) *Documents {
	return &Documents{configurations: f.configurations, instances: f.instances, world: w, mesh: st.mesh, failureDomain: s.FailureDomain,
		logger: log.With(logger, "component", "documents")}
}

func newLeases(s Settings, store *platform.Store, board *blackboard.Board, st *status, logger log.Logger, registry metrics.Registry) *lease.Manager {
	return lease.New(lease.Config{
		Node: s.Node, Boot: strconv.FormatInt(st.mesh.Boot(), 10),
		Duration: leaseDuration, Renew: leaseRenewal, CallTimeout: storeTimeout, Stable: leaseStable,
		Watchers: leaseWatchers, SoleBoot: true,
	}, store, board, func() []string { return []string{formationShard} }, logger, registry)
}

func newFormation(s Settings, w *World, st *status, board *blackboard.Board, logger log.Logger, registry metrics.Registry) *formation.Controller {
	commander := platform.NewCommander()
	return formation.NewController(formation.Config{FirstStart: s.FirstStart}, formation.Ports{
		Term: func() (formation.Term, bool) {
			shards := board.Shards.Load()
			if shards == nil {
				return formation.Term{}, false
			}
			held, ok := shards.Held[formationShard]
			return formation.Term{Number: held.Epoch}, ok && time.Now().Before(held.GoodUntil)
		},
		Configuration: &w.Configuration, Roster: &w.Roster, Demand: st.demand,
		Commander: commander, Prober: commander, Suspecting: st.suspecting, Progress: st.progress, Logger: logger, Registry: registry,
	})
}

func newReloader(s Settings, file SettingsFile, st *status, h *forward.Handler, logger log.Logger) *reloader {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return &reloader{path: file, current: s, mesh: st.mesh, handler: h, logger: logger, signals: signals}
}

func newInspector(st *status, h *forward.Handler, f followers, pool *upstream.Pool, registry metrics.Registry) *inspector {
	return &inspector{status: st, handler: h, followers: f, pool: pool, registry: registry}
}
