package node

import (
	"net/http"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/gateway"
	"github.com/rattanlanding/rattanlanding/health"
	"github.com/rattanlanding/rattanlanding/internal/connlimit"
	"github.com/rattanlanding/rattanlanding/limit"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/operator"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/replica"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
	"github.com/rattanlanding/rattanlanding/settings"
)

// retryBurst is the capacity of the node's retry budget: the number of retries
// that it may make at once. The budget is full at the start.
const retryBurst = 10

// percent converts a ratio from the settings to percent.
const percent = 100

// operatorServer is the HTTP server for operators. It has a type of its own
// because fx provides values by type.
type operatorServer struct{ *http.Server }

func newLimiter(board *blackboard.Board, builder *route.Builder, registry metrics.Registry) *limit.Limiter {
	return limit.NewLimiter(board, limit.Config{Waits: waitSource{builder: builder}}, registry)
}

func newBuilder(s settings.Settings, board *blackboard.Board, registry metrics.Registry) *route.Builder {
	return route.NewBuilder(route.Config{Lifetime: s.Bounds.EvidenceLifetime}, board, registry)
}

func newClaims(s settings.Settings, store object.Store, logger log.Logger, registry metrics.Registry) *claim.Registry {
	return claim.NewRegistry(store, claim.Config{Retention: s.Bounds.ClaimRetention}, logger, registry)
}

func newGuard(logger log.Logger, registry metrics.Registry) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Config{}, logger, registry)
}

func newMemory(s settings.Settings, registry metrics.Registry) *memory.Budget {
	return memory.NewBudget(memory.Config{Bytes: s.Limits.MemoryBytes, Registry: registry})
}

func newConnectionLimiter(s settings.Settings, budget *memory.Budget, registry metrics.Registry) *connlimit.Limiter {
	return connlimit.New(s.Limits.MaxDescriptors, budget, registry)
}

func newGateway(s settings.Settings, board *blackboard.Board, builder *route.Builder, engines *backend.EngineClient,
	servers *backend.PlainClient, limiter *limit.Limiter, claims *claim.Registry, prober *health.Prober,
	statuses *statusSource, guard *quarantine.Guard, budget *memory.Budget, logger log.Logger, registry metrics.Registry,
) *gateway.Gateway {
	return gateway.New(gateway.Config{
		MaxBodyBytes:  s.Limits.MaxBodyBytes,
		MaxConcurrent: int64(s.Limits.MaxConcurrentRequests),
		AddressTTL:    s.Bounds.AddressTTL,
		MaxAttempts:   s.Limits.MaxAttempts,
	}, gateway.Dependencies{
		Board:      board,
		Table:      &builder.Table,
		Engines:    engines,
		Servers:    servers,
		Limiter:    admitter{limiter: limiter},
		Claims:     claims,
		Refresher:  refresher{board: board, prober: prober},
		Statuses:   statuses,
		Quarantine: guard,
		Budget:     retry.NewBudget(int(s.Limits.RetryBudgetRatio*percent), retryBurst),
		Memory:     budget,
		Logger:     logger,
		Registry:   registry,
	})
}

func newApplier(store object.Store, documents *replica.Documents, confirmer *replica.Confirmer,
	logger log.Logger, registry metrics.Registry,
) *release.Applier {
	return release.NewApplier(release.Config{
		Store:     store,
		Gate:      confirmer,
		Publisher: documentPublisher{documents: documents, logger: logger},
		KnownRevision: func() fleet.Revision {
			revision, _ := documents.Revision()
			return revision
		},
		Logger:   logger,
		Registry: registry,
	})
}

func newOperatorServer(s settings.Settings, board *blackboard.Board, builder *route.Builder, g *gateway.Gateway,
	notes *release.Applier, logger log.Logger, registry metrics.Registry,
) (operatorServer, error) {
	handler, err := operator.NewHandler(operator.Config{
		Node:             s.Node,
		Keys:             s.OperatorKeys,
		Board:            board,
		Notes:            notes,
		EvidenceLifetime: s.Bounds.EvidenceLifetime,
		Dumpers: map[string]func() any{
			"routes":   func() any { return builder.Table.Load() },
			"inFlight": func() any { return g.InFlight() },
		},
		Registry: registry,
		Logger:   logger,
	})
	if err != nil {
		return operatorServer{}, err
	}
	return operatorServer{operator.NewServer(s.OperatorAddress, handler)}, nil
}
