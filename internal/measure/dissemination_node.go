package measure

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/health"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/placement"
	"github.com/rattanlanding/rattanlanding/replica"
)

// gate blocks a node's peer exchange and probes while it is locked, to simulate a
// paused process. Only the code behind the wrapped interfaces is blocked.
type gate struct{ sync.RWMutex }

// wait blocks while the gate is locked.
func (g *gate) wait() {
	g.RLock()
	defer g.RUnlock()
}

// gateWaitThreshold is longer than any wait at the gate of a node that is not paused.
const gateWaitThreshold = 100 * time.Millisecond

// gatedDocuments blocks every peer exchange, on both sides, while the gate is locked.
type gatedDocuments struct {
	*replica.Documents
	gate *gate
}

// Versions implements peer.Documents.
func (g gatedDocuments) Versions() []peer.DocumentVersion {
	g.gate.wait()
	return g.Documents.Versions()
}

// gatedStatus blocks every probe while the gate is locked.
type gatedStatus struct {
	health.StatusSource
	gate *gate
}

// Status implements health.StatusSource.
func (g gatedStatus) Status(ctx context.Context, address string) (fleet.Report, error) {
	deadline, limited := ctx.Deadline()
	started := time.Now()
	g.gate.wait()
	if waited := time.Since(started); limited && waited > gateWaitThreshold {
		// A paused process sends its next probe after the pause, with the full
		// timeout.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(waited))
		defer cancel()
	}
	return g.StatusSource.Status(ctx, address)
}

// fixedDemand is the constant demand of a few organisations at a node that has no
// callers.
type fixedDemand struct{}

// LocalDemand implements peer.DemandSource.
func (fixedDemand) LocalDemand() blackboard.NodeDemand {
	return blackboard.NodeDemand{ReceivedAt: time.Now(), TokensPerSecond: map[string]float64{
		"organisation-1": 900, "organisation-2": 700, "organisation-3": 400}}
}

// controlNode runs the controllers of a node: peer exchange, documents, confirmation,
// evidence, probes and leases.
type controlNode struct {
	name     string
	address  string
	board    *blackboard.Board
	table    *health.Table
	registry metrics.Registry
	store    *countingStore
	gate     gate

	documents *replica.Documents
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// nodeSpec holds the parameters with which a node is started.
type nodeSpec struct {
	index, domains int
	seeds          []string
	listener       net.Listener
	store          object.Store
	list           *staticInstances
}

// startNode starts the real controllers of one node.
func startNode(ctx context.Context, spec nodeSpec) (*controlNode, error) {
	address := spec.listener.Addr().String()
	n := &controlNode{name: fmt.Sprintf("node-%d", spec.index), address: address, board: &blackboard.Board{},
		registry: metrics.NewRegistry(), store: &countingStore{Store: spec.store}}
	self := fleet.Member{Node: n.name, Boot: peer.NewBoot(time.Now()), Region: fmt.Sprintf("region-%d", spec.index%2),
		FailureDomain: fmt.Sprintf("zone-%d", spec.index%spec.domains), CallerAddress: address, PeerAddress: address,
		State: fleet.NodeServing}
	logger := log.NewNopLogger()
	n.documents = replica.NewDocuments(n.board, logger)
	confirmer := replica.NewConfirmer(replica.ConfirmerConfig{Self: address, Seeds: spec.seeds}, n.documents, n.board, logger)
	n.table = health.NewTable(health.TableConfig{}, &n.board.Evidence)
	exchange, err := peer.New(peer.Config{Self: self, Seeds: spec.seeds, Key: "measure", Listener: spec.listener}, peer.Dependencies{
		Documents: gatedDocuments{n.documents, &n.gate}, Evidence: n.table, Demand: fixedDemand{},
		ConfirmationSource: confirmer, ConfirmationSink: confirmer}, n.board, logger, n.registry)
	if err != nil {
		return nil, err
	}
	n.documents.SetAnnouncer(exchange)
	sources := replica.NewSources(replica.SourcesConfig{Self: n.name}, n.store, countingInstances{spec.list, n.store},
		n.documents, confirmer, n.board, logger)
	prober := health.NewProber(health.Config{Node: n.name}, n.board, n.table,
		gatedStatus{backend.NewEngineClient(n.registry), &n.gate}, exchange, logger, n.registry)
	leases := lease.New(lease.Config{Node: n.name, Boot: self.Boot}, n.store, n.board, placement.Shards(n.board), logger, n.registry)
	ctx, n.cancel = context.WithCancel(ctx)
	for _, run := range []func(context.Context) error{
		exchange.Run, confirmer.Run, n.table.Run, sources.Run, prober.Run, leases.Run,
	} {
		n.running.Go(func() { _ = run(ctx) })
	}
	return n, nil
}

// stop stops the node without notice to its peers.
func (n *controlNode) stop() {
	n.cancel()
	n.documents.Close()
	n.running.Wait()
}

// hasMember reports whether n lists the named member.
func (n *controlNode) hasMember(name string) bool {
	for _, m := range n.board.Members.Load().All {
		if m.Node == name {
			return true
		}
	}
	return false
}

// counter returns the value of one of the node's counters.
func (n *controlNode) counter(name string) float64 {
	return float64(metrics.GetOrRegisterCounter(name, n.registry).Count())
}
