package peer

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// Prepare announces to all members that this node is about to write a configuration
// revision. It returns the peer addresses of the members that acknowledged it within
// the call timeout.
func (n *Node) Prepare(ctx context.Context, revision fleet.Revision) []string {
	ctx, cancel := context.WithTimeout(ctx, n.config.CallTimeout)
	defer cancel()
	var (
		mu       sync.Mutex
		prepared []string
		group    sync.WaitGroup
	)
	for _, member := range n.otherMembers() {
		group.Go(func() {
			if err := n.prepareAt(ctx, member.PeerAddress, revision); err != nil {
				n.logFailure(member.PeerAddress, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			prepared = append(prepared, member.PeerAddress)
		})
	}
	group.Wait()
	return prepared
}

// prepareAt announces the revision to the member at one address.
func (n *Node) prepareAt(ctx context.Context, address string, revision fleet.Revision) error {
	_, err := n.clients.client(address).Prepare(ctx, connect.NewRequest(&peerpb.PrepareRequest{
		Sender:   trimSender(n.roster.nextHeartbeat()),
		Revision: uint64(revision),
	}))
	return err
}
