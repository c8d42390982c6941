package node

import (
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/instancelist"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/settings"
)

// stopMargin is the time that a stop may take in addition to the drain timeout.
const stopMargin = 15 * time.Second

// startTimeout limits the start of the listeners.
const startTimeout = 15 * time.Second

// heapShare is the fraction of the allowed memory that the heap may use.
const heapShare = 0.7

// New returns the fx application of one daemon.
func New(s settings.Settings, logger log.Logger) *fx.App {
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryBytes) * heapShare))
	return fx.New(
		fx.Supply(s),
		fx.Provide(func() log.Logger { return logger }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Bounds.DrainTimeout+stopMargin),
		Module,
	)
}

// Module provides the components of a daemon and starts it. It requires
// settings.Settings and a log.Logger.
var Module = fx.Module("node",
	fx.Provide(
		newIdentity,
		newBoard,
		newMetrics,
		newStore,
		newInstanceSource,
		backend.NewEngineClient,
		backend.NewPlainClient,
		newTable,
		newDocuments,
		newConfirmer,
		newLimiter,
		newPeer,
		newSources,
		newStatusSource,
		newProber,
		newLeases,
		newReconciler,
		newBuilder,
		newClaims,
		newGuard,
		newMemory,
		newConnectionLimiter,
		newGateway,
		newApplier,
		newOperatorServer,
		newControllers,
		newDaemon,
	),
	fx.Invoke(registerDaemon),
)

// newIdentity returns this node's membership record.
func newIdentity(s settings.Settings) fleet.Member {
	return fleet.Member{
		Node:          s.Node,
		Boot:          peer.NewBoot(time.Now()),
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAdvertiseAddress,
		State:         fleet.NodeServing,
	}
}

func newBoard() *blackboard.Board { return &blackboard.Board{} }

func newMetrics() metrics.Registry { return metrics.NewRegistry() }

func newStore(s settings.Settings, registry metrics.Registry) object.Store {
	return object.NewClient(object.ClientConfig{Addresses: s.PlatformAddresses, Registry: registry})
}

func newInstanceSource(s settings.Settings, registry metrics.Registry) *instancelist.Client {
	return instancelist.NewClient(object.ClientConfig{Addresses: s.PlatformAddresses, Registry: registry})
}
