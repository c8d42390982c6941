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

// replicaNode is a node with documents, confirmation and exchange.
type replicaNode struct {
	board     *blackboard.Board
	documents *Documents
	stop      func()
}

// startReplica starts a node. A nil platform stands for one that the node cannot
// reach.
func startReplica(name string, listener net.Listener, seeds []string, platform *fakePlatform) *replicaNode {
	n := &replicaNode{board: &blackboard.Board{}}
	logger := log.NewNopLogger()
	self := listener.Addr().String()
	n.documents = NewDocuments(n.board, logger)
	confirmer := NewConfirmer(ConfirmerConfig{Self: self, Seeds: seeds}, n.documents, n.board, logger)
	ports := (&peer.Fake{}).Dependencies()
	ports.Documents, ports.ConfirmationSource, ports.ConfirmationSink = n.documents, confirmer, confirmer
	node, err := peer.New(peer.Config{
		Self:  fleet.Member{Node: name, Boot: peer.NewBoot(time.Now()), PeerAddress: self},
		Seeds: seeds, Key: "key", Listener: listener,
	}, ports, n.board, logger, metrics.NewRegistry())
	Expect(err).NotTo(HaveOccurred())
	n.documents.SetAnnouncer(node)

	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = node.Run(ctx) })
	running.Go(func() { _ = confirmer.Run(ctx) })
	if platform != nil {
		sources := NewSources(SourcesConfig{Self: name, PollInterval: 100 * time.Millisecond},
			platform, platform, n.documents, confirmer, n.board, logger)
		running.Go(func() { _ = sources.Run(ctx) })
	}
	n.stop = func() { cancel(); running.Wait(); n.documents.Close() }
	DeferCleanup(n.stop)
	return n
}

// mayServe reports whether a node may serve with a revision now.
func mayServe(n *replicaNode, revision fleet.Revision) func() bool {
	return func() bool {
		c := n.board.Confirmation.Load()
		return c != nil && c.Revision == revision && time.Now().Before(c.ServeUntil)
	}
}

var _ = Describe("three nodes of which one reaches the platform", func() {
	It("share revisions and confirmations, and stop in a minority", func() {
		// Guards against nodes cut off from the platform that miss a revision or
		// stop needlessly, and against a lone node that never stops.
		listeners, seeds := make([]net.Listener, 3), make([]string, 3)
		for i := range listeners {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			listeners[i], seeds[i] = listener, listener.Addr().String()
		}
		platform := &fakePlatform{}
		platform.set(7, false)
		nodes := make([]*replicaNode, 3)
		for i := range nodes {
			var reached *fakePlatform
			if i == 0 {
				reached = platform
			}
			nodes[i] = startReplica("n"+strconv.Itoa(i), listeners[i], seeds, reached)
		}
		for _, n := range nodes {
			Eventually(mayServe(n, 7)).WithTimeout(patience).Should(BeTrue())
		}
		platform.set(8, false)
		for _, n := range nodes {
			Eventually(mayServe(n, 8)).WithTimeout(patience).Should(BeTrue())
			Eventually(func() bool { return !n.board.Confirmation.Load().ConfirmedAt.IsZero() }).
				WithTimeout(patience).Should(BeTrue())
		}
		nodes[0].stop()
		// Two of three are a majority, which outlives the last confirmation.
		Eventually(func() bool {
			c := nodes[1].board.Confirmation.Load()
			return time.Since(c.ConfirmedAt) > DefaultConfirmedFor && mayServe(nodes[1], 8)()
		}).WithTimeout(patience).Should(BeTrue())
		nodes[2].stop()
		Eventually(mayServe(nodes[1], 8)).WithTimeout(patience).Should(BeFalse())
	})
})
