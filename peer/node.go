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

// Node takes part in the exchange between nodes. It is safe for concurrent use.
type Node struct {
	config  Config
	ports   Ports
	board   *blackboard.Board
	logger  log.Logger
	roster  *roster
	demand  demandTable
	losses  lossLog
	reports reportBook
	told    toldLog
	echo    echoLog
	relay   relayState
	// news holds what relayAll is to ask for.
	news    chan relayNews
	traffic *traffic
	dialer  *dialer
	// urgent holds a token while an extra exchange is wanted.
	urgent chan struct{}
	// strangers holds a token while the roster has candidates to contact.
	strangers chan struct{}

	callsMu sync.Mutex
	calls   map[string]*callState
	running sync.WaitGroup

	publishMu sync.Mutex
}

// New returns a Node that publishes board.Members and board.Demand.
func New(config Config, ports Ports, board *blackboard.Board, logger log.Logger, registry metrics.Registry) (*Node, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	counted := newTraffic(registry)
	n := &Node{
		config: config, ports: ports, board: board, logger: logger,
		roster: newRoster(&config), traffic: counted, dialer: newDialer(config.Key, config.ListenAddress, counted),
		urgent: make(chan struct{}, 1), strangers: make(chan struct{}, 1), calls: map[string]*callState{},
		news: make(chan relayNews, relayQueue),
	}
	n.publishMembers()
	return n, nil
}

// Run serves peers and exchanges with them until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	listener, err := n.listen(ctx)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.serve(ctx, listener) })
	group.Go(func() error { n.rounds(ctx); return nil })
	group.Go(func() error { n.extraRounds(ctx); return nil })
	group.Go(func() error { n.contactStrangers(ctx); return nil })
	group.Go(func() error { n.relayAll(ctx); return nil })
	err = group.Wait()
	n.running.Wait()
	n.dialer.transport.CloseIdleConnections()
	return err
}

// serve runs the server until ctx ends.
func (n *Node) serve(ctx context.Context, listener net.Listener) error {
	server := newServer(n)
	var running atomic.Int64
	server.Handler = counted(&running, server.Handler)
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdown(context.WithoutCancel(ctx), server, &running)
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

// SetLeaving tells all members that this node is stopping. It cannot be undone.
func (n *Node) SetLeaving() {
	if n.roster.setLeaving() {
		n.publishMembers()
		n.trigger()
	}
}

// AnnounceLosses tells all members about failed probes of this node.
func (n *Node) AnnounceLosses(losses []blackboard.Loss) {
	if len(losses) == 0 {
		return
	}
	n.losses.add(losses)
	n.trigger()
}

// AnnounceDocuments tells all members the document versions held here. The owner
// of the documents calls it after a version was learnt from the platform.
func (n *Node) AnnounceDocuments() { n.trigger() }

// Superseded reports whether a later process with this node's name was seen.
func (n *Node) Superseded() bool { return n.roster.isSuperseded() }

// Fetch reads a document of at least the given version from a member.
func (n *Node) Fetch(ctx context.Context, node, name string, version uint64) (Document, error) {
	for _, m := range n.board.Members.Load().All {
		if m.Node == node {
			return n.fetchFrom(ctx, m.PeerAddress, DocumentVersion{name, version})
		}
	}
	return Document{}, fmt.Errorf("fetch %s: node %s is not a member", name, node)
}

func (n *Node) fetchFrom(ctx context.Context, address string, want DocumentVersion) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, n.config.FetchTimeout)
	defer cancel()
	return n.dialer.fetch(ctx, address, want)
}

// trigger asks for an extra exchange with all members.
func (n *Node) trigger() { signal(n.urgent) }

// signal puts a token into a channel of capacity 1.
func signal(tokens chan struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}

// publishMembers publishes the members known now.
func (n *Node) publishMembers() {
	n.publishMu.Lock()
	defer n.publishMu.Unlock()
	n.board.Members.Publish(&blackboard.Members{
		Self: n.config.Self.Node, All: n.roster.members(time.Now()),
	})
}

// publishDemand publishes the demand known now, this node's own included.
func (n *Node) publishDemand() {
	own := n.ports.Demand.LocalDemand()
	n.publishMu.Lock()
	defer n.publishMu.Unlock()
	now := time.Now()
	own.HeardAt = now
	n.demand.merge(n.config.Self.Node, own)
	n.board.Demand.Publish(n.demand.snapshot(now, n.config.DeadAfter))
}

// logFailure notes a failed call at debug level, because a dead peer fails in
// every round.
func (n *Node) logFailure(address string, err error) {
	_ = level.Debug(n.logger).Log("msg", "exchange failed", "peer", address, "err", err)
}
