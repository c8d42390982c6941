package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// Node exchanges state with the other nodes of the system. It is safe for concurrent
// use.
type Node struct {
	config       Config
	deps         Dependencies
	board        *blackboard.Board
	logger       log.Logger
	roster       *roster
	demand       demandTable
	losses       lossLog
	reports      reportCache
	versions     peerVersions
	splitHorizon splitHorizon
	relay        relayState
	// notifications queues relay notifications for runRelay.
	notifications chan relayNotification
	traffic       *trafficCounters
	clients       *clientPool
	// extraRound holds a token while an extra round is requested.
	extraRound chan struct{}
	// candidatesAdded holds a token while the roster has candidates to contact.
	candidatesAdded chan struct{}

	exchangesMu sync.Mutex
	// exchanges maps addresses to the exchanges in flight.
	exchanges map[string]*exchangeState
	// background counts the goroutines started by exchanges and relay rounds.
	background sync.WaitGroup

	// publishMu serialises the publishing of members and demand.
	publishMu sync.Mutex
}

// New returns a Node that publishes board.Members and board.Demand.
func New(config Config, deps Dependencies, board *blackboard.Board, logger log.Logger, registry metrics.Registry) (*Node, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	counters := newTrafficCounters(registry)
	n := &Node{
		config: config, deps: deps, board: board, logger: logger,
		roster: newRoster(&config), traffic: counters, clients: newClientPool(config.Key, config.ListenAddress, counters),
		extraRound: make(chan struct{}, 1), candidatesAdded: make(chan struct{}, 1), exchanges: map[string]*exchangeState{},
		notifications: make(chan relayNotification, maxQueuedNotifications),
	}
	n.publishMembers()
	return n, nil
}

// Run serves requests from peers and exchanges state with them until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	listener, err := n.listen(ctx)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.serve(ctx, listener) })
	group.Go(func() error { n.runRounds(ctx); return nil })
	group.Go(func() error { n.runExtraRounds(ctx); return nil })
	group.Go(func() error { n.contactCandidates(ctx); return nil })
	group.Go(func() error { n.announceObservations(ctx); return nil })
	group.Go(func() error { n.runRelay(ctx); return nil })
	err = group.Wait()
	n.background.Wait()
	n.clients.transport.CloseIdleConnections()
	return err
}

// serve runs the server until ctx ends.
func (n *Node) serve(ctx context.Context, listener net.Listener) error {
	server := newServer(n)
	var inFlight atomic.Int64
	server.Handler = countInFlight(&inFlight, server.Handler)
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdown(context.WithoutCancel(ctx), server, &inFlight)
	})
	err := server.Serve(&countingListener{Listener: listener, traffic: n.traffic})
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve peers: %w", err)
}

// SetLeaving marks this node as leaving and announces it to all members. It cannot be
// undone.
func (n *Node) SetLeaving() {
	if n.roster.setLeaving() {
		n.publishMembers()
		n.triggerExtraRound()
	}
}

// AnnounceLosses announces losses detected by this node's probes to all members.
func (n *Node) AnnounceLosses(losses []blackboard.Loss) {
	if len(losses) == 0 {
		return
	}
	n.losses.add(losses)
	n.triggerExtraRound()
}

// AnnounceDocuments announces the document versions of this node to all members. The
// owner of the documents calls it after a new version was read from or written to the
// platform.
func (n *Node) AnnounceDocuments() { n.triggerExtraRound() }

// Superseded reports whether a message of a later process with this node's name was
// received.
func (n *Node) Superseded() bool { return n.roster.isSuperseded() }

// Fetch downloads a document of at least the given version from a member.
func (n *Node) Fetch(ctx context.Context, node, name string, version uint64) (Document, error) {
	for _, m := range n.board.Members.Load().All {
		if m.Node == node {
			return n.fetchFrom(ctx, m.PeerAddress, DocumentVersion{name, version})
		}
	}
	return Document{}, fmt.Errorf("fetch %s: node %s is not a member", name, node)
}

// fetchFrom downloads a document of at least the wanted version from an address.
func (n *Node) fetchFrom(ctx context.Context, address string, want DocumentVersion) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, n.config.FetchTimeout)
	defer cancel()
	return n.clients.fetch(ctx, address, want)
}

// triggerExtraRound requests an extra round of exchanges with all members.
func (n *Node) triggerExtraRound() { signal(n.extraRound) }

// signal sends a token to a channel of capacity 1 unless it already holds one.
func signal(tokens chan struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}

// publishMembers publishes the current members.
func (n *Node) publishMembers() {
	n.publishMu.Lock()
	defer n.publishMu.Unlock()
	n.board.Members.Publish(&blackboard.Members{
		Self: n.config.Self.Node, All: n.roster.members(time.Now()),
	})
}

// publishDemand publishes the current demand of all nodes, including this node.
func (n *Node) publishDemand() {
	own := n.deps.Demand.LocalDemand()
	n.publishMu.Lock()
	defer n.publishMu.Unlock()
	now := time.Now()
	own.ReceivedAt = now
	n.demand.merge(n.config.Self.Node, own)
	n.board.Demand.Publish(n.demand.snapshot(now, n.config.DeadAfter))
}

// logFailure logs a failed call to a peer at debug level, because calls to a dead peer
// fail in every round.
func (n *Node) logFailure(address string, err error) {
	_ = level.Debug(n.logger).Log("msg", "call to peer failed", "peer", address, "err", err)
}
