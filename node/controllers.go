package node

import (
	"fmt"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/health"
	"github.com/rattanlanding/rattanlanding/instancelist"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/limit"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/placement"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/replica"
	"github.com/rattanlanding/rattanlanding/settings"
)

func newTable(s settings.Settings, board *blackboard.Board) *health.Table {
	return health.NewTable(health.TableConfig{TimeToLive: s.Bounds.EvidenceLifetime}, &board.Evidence)
}

func newDocuments(board *blackboard.Board, logger log.Logger) *replica.Documents {
	return replica.NewDocuments(board, logger)
}

func newConfirmer(s settings.Settings, documents *replica.Documents, board *blackboard.Board, logger log.Logger) *replica.Confirmer {
	return replica.NewConfirmer(replica.ConfirmerConfig{
		Self:  s.PeerAdvertiseAddress,
		Seeds: s.Peers,
		Timeouts: replica.Timeouts{
			ConfirmationLifetime: s.Bounds.ConfirmationLifetime,
			ContactLifetime:      s.Bounds.MajorityContact,
		},
	}, documents, board, logger)
}

func newPeer(s settings.Settings, self fleet.Member, documents *replica.Documents, table *health.Table,
	limiter *limit.Limiter, confirmer *replica.Confirmer, guard *quarantine.Guard, board *blackboard.Board,
	logger log.Logger, registry metrics.Registry,
) (*peer.Node, error) {
	node, err := peer.New(peer.Config{
		Self:             self,
		ListenAddress:    s.PeerAddress,
		Seeds:            s.Peers,
		Key:              s.PeerKey,
		ExchangeInterval: s.Bounds.ExchangeInterval,
		DeadAfter:        s.Bounds.MemberDead,
		EvidenceMaxAge:   s.Bounds.EvidenceLifetime,
	}, peer.Dependencies{
		Documents:          documents,
		Evidence:           table,
		Demand:             limiter,
		ConfirmationSource: confirmer,
		ConfirmationSink:   confirmer,
		Quarantine:         guard,
	}, board, logger, registry)
	if err != nil {
		return nil, err
	}
	documents.SetAnnouncer(node)
	confirmer.SetPreparer(node)
	return node, nil
}

func newSources(s settings.Settings, store object.Store, instances *instancelist.Client, documents *replica.Documents,
	confirmer *replica.Confirmer, board *blackboard.Board, logger log.Logger,
) *replica.Sources {
	return replica.NewSources(replica.SourcesConfig{
		Self:         s.Node,
		PollInterval: s.Bounds.ConfigurationPoll,
	}, store, instances, documents, confirmer, board, logger)
}

func newStatusSource(board *blackboard.Board, engines *backend.EngineClient, servers *backend.PlainClient) *statusSource {
	return &statusSource{board: board, engines: engines, servers: servers}
}

func newProber(s settings.Settings, board *blackboard.Board, table *health.Table, source *statusSource, node *peer.Node,
	logger log.Logger, registry metrics.Registry,
) *health.Prober {
	return health.NewProber(health.Config{
		Node:     s.Node,
		Interval: s.Bounds.ProbeInterval,
		Timeout:  s.Bounds.ProbeTimeout,
	}, board, table, source, node, logger, registry)
}

func newLeases(s settings.Settings, self fleet.Member, store object.Store, board *blackboard.Board,
	logger log.Logger, registry metrics.Registry,
) *lease.Manager {
	return lease.New(lease.Config{
		Node:          self.Node,
		Boot:          self.Boot,
		Duration:      s.Bounds.LeaseDuration,
		RenewInterval: s.Bounds.LeaseRenewInterval,
	}, store, board, placement.Shards(board), logger, registry)
}

func newReconciler(s settings.Settings, store object.Store, board *blackboard.Board, documents *replica.Documents,
	engines *backend.EngineClient, logger log.Logger, registry metrics.Registry,
) (*placement.Reconciler, error) {
	policy, err := repairPolicy(s.Placement)
	if err != nil {
		return nil, err
	}
	publisher := documentPublisher{documents: documents, logger: logger}
	return placement.New(placement.Config{
		TimeToLive: s.Bounds.EvidenceLifetime,
		Limits:     placement.Limits{RepairDelay: s.Bounds.RepairDelay},
	}, store, board, policy, publisher, engines, logger, registry), nil
}

// repairPolicy returns the repair policy that is set by name.
func repairPolicy(s settings.Placement) (placement.Policy, error) {
	policies := []placement.Policy{
		placement.Balanced{DowntimeWeight: s.DowntimeWeight},
		placement.Merge{},
		placement.Preempt{},
		placement.Replace{},
		placement.Wait{},
	}
	for _, policy := range policies {
		if policy.Name() == s.Policy {
			return policy, nil
		}
	}
	return nil, fmt.Errorf("settings: placement.policy: unknown policy %q", s.Policy)
}
