package peer

import (
	"context"
	"maps"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// Above FullMeshMembers, members and evidence travel over a relay tree. Each
// interval the root gathers: it asks its children, which first ask theirs. Then
// it tells its children that there is news; they ask for it and tell theirs. So
// everything travels in responses, whose age the requester bounds by its own
// clock, and a level adds a round trip instead of an interval.
const (
	// gatherWait bounds the time for which the root waits for its children.
	gatherWait = 400 * time.Millisecond
	// gatherMargin is the part of it that each level leaves to the one above.
	gatherMargin = 60 * time.Millisecond
	// retryWait is the time for which a parent waits for a child that did not
	// answer in the round before. The children of that child are asked as well.
	retryWait = 120 * time.Millisecond
	// relayQueue is the number of pieces of news that may wait.
	relayQueue = 4
	// maxRootRank bounds the order in which nodes take the place of a silent root.
	maxRootRank = 5
)

// relayNews tells that the node at an address has gathered for the tree below
// root.
type relayNews struct{ address, root string }

// relayState is what a node remembers between rounds of the relay tree.
type relayState struct {
	mu sync.Mutex
	// failed holds the addresses that did not answer in the newest round.
	failed map[string]bool
	// gatheredAt is when this node was last asked to gather, and attachedAt when
	// it last was that or got an answer of a child.
	gatheredAt, attachedAt time.Time
}

// asked notes a request to gather.
func (s *relayState) asked(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gatheredAt, s.attachedAt = now, now
}

// silence returns the time since the last request to gather.
func (s *relayState) silence(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.gatheredAt)
}

// setFailed notes whether the node at an address answered.
func (s *relayState) setFailed(address string, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = map[string]bool{}
	}
	if failed {
		s.failed[address] = true
		return
	}
	delete(s.failed, address)
	s.attachedAt = time.Now()
}

// detached tells whether the relay tree did not reach this node for longer than
// limit.
func (s *relayState) detached(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.attachedAt) > limit
}

// hasFailed tells whether the node at an address did not answer lately.
func (s *relayState) hasFailed(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed[address]
}

// children returns this node's children in the tree below root.
func (n *Node) children(root string) []fleet.MemberView {
	n.relay.mu.Lock()
	failed := maps.Clone(n.relay.failed)
	n.relay.mu.Unlock()
	return relayOrder(n.board.Members.Load().All).childrenOf(n.config.Self.Node, root, failed)
}

// actsAsRoot tells whether this node starts the round. The first of the order
// always does; the next ones do when they were not asked for longer and longer.
func (n *Node) actsAsRoot(now time.Time) bool {
	rank := relayOrder(n.board.Members.Load().All).position(n.config.Self.Node)
	if rank <= 0 {
		return true
	}
	interval := n.config.ExchangeInterval
	return n.relay.silence(now) > interval+interval*time.Duration(min(rank, maxRootRank))/4
}

// startRound performs one round as the root, in the background.
func (n *Node) startRound(ctx context.Context) {
	n.running.Go(func() {
		root := n.config.Self.Node
		bounded, cancel := context.WithTimeout(ctx, gatherWait)
		defer cancel()
		n.gather(bounded, root)
		n.spread(ctx, root)
	})
}

// gather asks all children for what they know and learn from their own.
func (n *Node) gather(ctx context.Context, root string) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-gatherMargin))
		defer cancel()
	}
	var all sync.WaitGroup
	for _, child := range n.children(root) {
		limit := gatherWait
		if n.relay.hasFailed(child.PeerAddress) {
			limit = retryWait
		}
		all.Go(func() { n.gatherFrom(ctx, child.PeerAddress, root, limit) })
	}
	all.Wait()
}

// gatherFrom asks one child and waits for at most limit.
func (n *Node) gatherFrom(ctx context.Context, address, root string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := n.exchange(ctx, address, purpose{gatherRoot: root})
	n.relay.setFailed(address, err != nil)
	if err != nil {
		n.logFailure(address, err)
	}
}

// spread tells all children that there is news.
func (n *Node) spread(ctx context.Context, root string) {
	ctx, cancel := context.WithTimeout(ctx, n.config.CallTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, child := range n.children(root) {
		all.Go(func() {
			_, err := n.dialer.client(child.PeerAddress).Relay(ctx, connect.NewRequest(&peerpb.RelayRequest{
				Sender: shortSender(n.roster.heartbeat()), Root: root,
			}))
			if err != nil {
				n.logFailure(child.PeerAddress, err)
			}
		})
	}
	all.Wait()
}

// relayAll asks for news and passes them on until ctx ends.
func (n *Node) relayAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case news := <-n.news:
			if err := n.exchange(ctx, news.address, purpose{whole: true}); err != nil {
				n.logFailure(news.address, err)
			}
			n.running.Go(func() { n.spread(ctx, news.root) })
		}
	}
}

// Relay implements peerpbconnect.PeerServiceHandler. The sender is only a hint
// where to ask, so an old message does no harm.
func (s service) Relay(
	_ context.Context, request *connect.Request[peerpb.RelayRequest],
) (*connect.Response[peerpb.RelayResponse], error) {
	for _, m := range s.node.others() {
		if m.Node != request.Msg.GetSender().GetNode() {
			continue
		}
		select {
		case s.node.news <- relayNews{m.PeerAddress, request.Msg.GetRoot()}:
		default:
		}
	}
	return connect.NewResponse(&peerpb.RelayResponse{}), nil
}
