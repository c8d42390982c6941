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

// Above FullMeshMembers, membership and evidence are disseminated over a relay tree.
// Once per interval the root gathers: it polls its children, which first poll theirs.
// Then it notifies its children that updates are available; they fetch them from their
// parent and notify their own children. So all updates are sent in responses, whose
// age the requester bounds by its own clock, and each level of the tree adds a round
// trip instead of an interval.
const (
	// gatherTimeout limits the time for which the root waits for its children.
	gatherTimeout = 400 * time.Millisecond
	// gatherMargin is how much earlier than its own deadline a node stops waiting for
	// its children, so that its response reaches its parent in time.
	gatherMargin = 60 * time.Millisecond
	// failedChildTimeout is the time for which a parent waits for a child that did not
	// respond in the previous round. The children of that child are polled as well.
	failedChildTimeout = 120 * time.Millisecond
	// maxQueuedNotifications is the number of queued relay notifications. Further ones
	// are dropped.
	maxQueuedNotifications = 4
	// maxRootRank caps the rank from which the delay is computed after which a node
	// replaces an unresponsive root.
	maxRootRank = 5
)

// relayNotification states that the node at address has gathered updates for the relay
// tree with the given root.
type relayNotification struct{ address, root string }

// relayState is the state that a node keeps between rounds of the relay tree.
type relayState struct {
	mu sync.Mutex
	// failed holds the addresses of children whose last gather request failed.
	failed map[string]bool
	// lastGatherAt is when this node last received a request to gather. lastContactAt
	// is when it last received such a request or the response of a child.
	lastGatherAt, lastContactAt time.Time
}

// recordGather records that a request to gather was received.
func (s *relayState) recordGather(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastGatherAt, s.lastContactAt = now, now
}

// sinceLastGather returns the time since the last request to gather was received.
func (s *relayState) sinceLastGather(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastGatherAt)
}

// recordResult records whether the gather request to a child failed.
func (s *relayState) recordResult(address string, failed bool) {
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
	s.lastContactAt = time.Now()
}

// detached reports whether this node has had no contact with the relay tree for longer
// than limit.
func (s *relayState) detached(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastContactAt) > limit
}

// hasFailed reports whether the last gather request to an address failed.
func (s *relayState) hasFailed(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed[address]
}

// children returns this node's children in the relay tree with the given root.
func (n *Node) children(root string) []fleet.MemberView {
	n.relay.mu.Lock()
	failed := maps.Clone(n.relay.failed)
	n.relay.mu.Unlock()
	return relayOrder(n.board.Members.Load().All).childrenOf(n.config.Self.Node, root, failed)
}

// actsAsRoot reports whether this node starts a round. The first node of the relay
// order always does. The following nodes do once they have received no request to
// gather for a time that grows with their rank.
func (n *Node) actsAsRoot(now time.Time) bool {
	rank := relayOrder(n.board.Members.Load().All).index(n.config.Self.Node)
	if rank <= 0 {
		return true
	}
	interval := n.config.ExchangeInterval
	return n.relay.sinceLastGather(now) > interval+interval*time.Duration(min(rank, maxRootRank))/4
}

// startRelayRound performs one round of the relay tree as its root, in the background.
func (n *Node) startRelayRound(ctx context.Context) {
	n.background.Go(func() {
		root := n.config.Self.Node
		bounded, cancel := context.WithTimeout(ctx, gatherTimeout)
		defer cancel()
		n.gather(bounded, root)
		n.notifyChildren(ctx, root)
	})
}

// gather fetches the updates of all children, which gather those of their own children
// first.
func (n *Node) gather(ctx context.Context, root string) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-gatherMargin))
		defer cancel()
	}
	var all sync.WaitGroup
	for _, child := range n.children(root) {
		limit := gatherTimeout
		if n.relay.hasFailed(child.PeerAddress) {
			limit = failedChildTimeout
		}
		all.Go(func() { n.gatherFrom(ctx, child.PeerAddress, root, limit) })
	}
	all.Wait()
}

// gatherFrom polls one child and waits at most limit for its response.
func (n *Node) gatherFrom(ctx context.Context, address, root string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := n.exchange(ctx, address, exchangeOptions{gatherRoot: root})
	n.relay.recordResult(address, err != nil)
	if err != nil {
		n.logFailure(address, err)
	}
}

// notifyChildren notifies all children that updates are available.
func (n *Node) notifyChildren(ctx context.Context, root string) {
	ctx, cancel := context.WithTimeout(ctx, n.config.CallTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, child := range n.children(root) {
		all.Go(func() {
			_, err := n.clients.client(child.PeerAddress).Relay(ctx, connect.NewRequest(&peerpb.RelayRequest{
				Sender: trimSender(n.roster.nextHeartbeat()), Root: root,
			}))
			if err != nil {
				n.logFailure(child.PeerAddress, err)
			}
		})
	}
	all.Wait()
}

// runRelay handles relay notifications until ctx ends: it fetches the updates from the
// sender and then notifies this node's children.
func (n *Node) runRelay(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case notification := <-n.notifications:
			if err := n.exchange(ctx, notification.address, exchangeOptions{full: true}); err != nil {
				n.logFailure(notification.address, err)
			}
			n.background.Go(func() { n.notifyChildren(ctx, notification.root) })
		}
	}
}

// Relay implements peerpbconnect.PeerServiceHandler. The request only names the member
// from which to fetch updates, so an old message does no harm. If the queue is full,
// the notification is dropped.
func (s service) Relay(
	_ context.Context, request *connect.Request[peerpb.RelayRequest],
) (*connect.Response[peerpb.RelayResponse], error) {
	for _, m := range s.node.otherMembers() {
		if m.Node != request.Msg.GetSender().GetNode() {
			continue
		}
		select {
		case s.node.notifications <- relayNotification{m.PeerAddress, request.Msg.GetRoot()}:
		default:
		}
	}
	return connect.NewResponse(&peerpb.RelayResponse{}), nil
}
