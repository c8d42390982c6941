package replica

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer"
)

// testNode is a node with documents, a Confirmer and a peer.Node.
type testNode struct {
	board     *blackboard.Board
	documents *Documents
	stop      func()
}

// startReplica starts a node. A nil platform means that the node cannot reach the
// platform.
func startReplica(name string, listener net.Listener, seeds []string, platform *fakePlatform) *testNode {
	n := &testNode{board: &blackboard.Board{}}
	logger := log.NewNopLogger()
	self := listener.Addr().String()
	n.documents = NewDocuments(n.board, logger)
	confirmer := NewConfirmer(ConfirmerConfig{Self: self, Seeds: seeds}, n.documents, n.board, logger)
	deps := (&peer.Fake{}).Dependencies()
	deps.Documents, deps.ConfirmationSource, deps.ConfirmationSink = n.documents, confirmer, confirmer
	node, err := peer.New(peer.Config{
		Self:  fleet.Member{Node: name, Boot: peer.NewBoot(time.Now()), PeerAddress: self},
		Seeds: seeds, Key: "key", Listener: listener,
	}, deps, n.board, logger, metrics.NewRegistry())
	Expect(err).NotTo(HaveOccurred())
	n.documents.SetAnnouncer(node)

	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { _ = node.Run(ctx) })
	background.Go(func() { _ = confirmer.Run(ctx) })
	if platform != nil {
		sources := NewSources(SourcesConfig{Self: name, PollInterval: 100 * time.Millisecond},
			platform, platform, n.documents, confirmer, n.board, logger)
		background.Go(func() { _ = sources.Run(ctx) })
	}
	n.stop = func() { cancel(); background.Wait(); n.documents.Close() }
	DeferCleanup(n.stop)
	return n
}

// mayServe returns a function that reports whether a node may currently serve with a
// revision.
func mayServe(n *testNode, revision fleet.Revision) func() bool {
	return func() bool {
		c := n.board.Confirmation.Load()
		return c != nil && c.Revision == revision && time.Now().Before(c.ServeUntil)
	}
}

var _ = Describe("three nodes of which one reaches the platform", func() {
	It("share revisions and confirmations, and stop serving in a minority", func() {
		// Guards against nodes without access to the platform that miss a revision or
		// stop serving needlessly, and against an isolated node that never stops.
		listeners, seeds := make([]net.Listener, 3), make([]string, 3)
		for i := range listeners {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			listeners[i], seeds[i] = listener, listener.Addr().String()
		}
		platform := &fakePlatform{}
		platform.set(7, false)
		nodes := make([]*testNode, 3)
		for i := range nodes {
			var reachable *fakePlatform
			if i == 0 {
				reachable = platform
			}
			nodes[i] = startReplica("n"+strconv.Itoa(i), listeners[i], seeds, reachable)
		}
		for _, n := range nodes {
			Eventually(mayServe(n, 7)).WithTimeout(eventuallyTimeout).Should(BeTrue())
		}
		platform.set(8, false)
		for _, n := range nodes {
			Eventually(mayServe(n, 8)).WithTimeout(eventuallyTimeout).Should(BeTrue())
			Eventually(func() bool { return !n.board.Confirmation.Load().ConfirmedAt.IsZero() }).
				WithTimeout(eventuallyTimeout).Should(BeTrue())
		}
		nodes[0].stop()
		// Two of three nodes are a majority, which may serve beyond the lifetime of the
		// last confirmation.
		Eventually(func() bool {
			c := nodes[1].board.Confirmation.Load()
			return time.Since(c.ConfirmedAt) > DefaultConfirmationLifetime && mayServe(nodes[1], 8)()
		}).WithTimeout(eventuallyTimeout).Should(BeTrue())
		nodes[2].stop()
		Eventually(mayServe(nodes[1], 8)).WithTimeout(eventuallyTimeout).Should(BeFalse())
	})
})
