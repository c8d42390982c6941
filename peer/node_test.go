package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// eventuallyTimeout limits every wait for an expected event.
const eventuallyTimeout = 30 * time.Second

// runningNode is a started Node with its dependencies.
type runningNode struct {
	*Node
	fake     *Fake
	board    *blackboard.Board
	registry metrics.Registry
	stop     func()
}

// listenLoopback opens a listener on a free port of the loopback address.
func listenLoopback() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// startNode starts a node, which stops at the end of the test.
func startNode(name string, listener net.Listener, key string, seeds ...string) *runningNode {
	return startNodeWith(name, listener, key, 100*time.Millisecond, nil, seeds...)
}

// startNodeWith is startNode with the given exchange interval and quarantine.
func startNodeWith(name string, listener net.Listener, key string, interval time.Duration, quarantine Quarantine, seeds ...string) *runningNode {
	r := &runningNode{fake: &Fake{}, board: &blackboard.Board{}, registry: metrics.NewRegistry()}
	deps := r.fake.Dependencies()
	deps.Quarantine = quarantine
	var err error
	r.Node, err = New(Config{
		Self:  fleet.Member{Node: name, Boot: NewBoot(time.Now()), PeerAddress: listener.Addr().String()},
		Seeds: seeds, Key: key, Listener: listener,
		ExchangeInterval: interval,
	}, deps, r.board, log.NewNopLogger(), r.registry)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	stopped := false
	r.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			Eventually(done).WithTimeout(eventuallyTimeout).Should(Receive(BeNil()))
		}
	}
	DeferCleanup(r.stop)
	return r
}

// servingCount returns a function that counts the serving members in the node's view.
func servingCount(r *runningNode) func() int {
	return func() int { return len(r.board.Members.Load().Serving()) }
}

var _ = Describe("nine nodes", func() {
	It("discover each other through one seed and remove members that leave or stop", func() {
		// Guards against membership that needs all seeds, a dead member that is not
		// removed, losses that are not announced and documents that are not offered.
		seed := listenLoopback()
		nodes := []*runningNode{startNode("n0", seed, "key")}
		for i := 1; i < 9; i++ {
			nodes = append(nodes, startNode(fmt.Sprintf("n%d", i), listenLoopback(), "key", seed.Addr().String()))
		}
		for _, n := range nodes {
			Eventually(servingCount(n)).WithTimeout(eventuallyTimeout).Should(Equal(9))
		}

		nodes[3].fake.SetDocument(Document{DocumentVersion{"config/current", 7}, []byte("body")})
		nodes[3].fake.SetConfirmation(Confirmation{7, time.Now()})
		nodes[3].fake.SetDemand(blackboard.NodeDemand{TokensPerSecond: map[string]float64{"acme": 5}})
		nodes[3].fake.Observe(blackboard.Observation{
			Report: fleet.Report{Instance: "i2"}, ObservedAt: time.Now().Add(-time.Second), Observer: "n3",
		})
		observed := time.Now().Add(-time.Second)
		nodes[3].AnnounceDocuments()
		nodes[3].AnnounceLosses([]blackboard.Loss{{Instance: "i1", At: time.Now()}})
		for _, n := range nodes[4:] {
			Eventually(n.fake.Losses).WithTimeout(eventuallyTimeout).ShouldNot(BeEmpty())
			Eventually(n.fake.Offers).WithTimeout(eventuallyTimeout).ShouldNot(BeEmpty())
			offer := n.fake.Offers()[0]
			Expect(offer.Peer).To(Equal("n3"))
			document, err := offer.Fetch(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(document.Body).To(Equal([]byte("body")))
			Eventually(func() bool { _, ok := n.fake.ConfirmedBy("n3"); return ok }).
				WithTimeout(eventuallyTimeout).Should(BeTrue())
			Eventually(func() float64 {
				return n.board.Demand.Load().ByNode["n3"].TokensPerSecond["acme"]
			}).WithTimeout(eventuallyTimeout).Should(Equal(5.0))
			for _, o := range n.fake.Observations(time.Hour) {
				Expect(o.ObservedAt).To(BeTemporally("<=", observed))
			}
		}

		nodes[5].SetLeaving()
		Eventually(servingCount(nodes[0])).WithTimeout(eventuallyTimeout).Should(Equal(8))
		nodes[8].stop()
		Eventually(servingCount(nodes[0])).WithTimeout(eventuallyTimeout).Should(Equal(7))
		Eventually(func() int { return len(nodes[0].board.Members.Load().All) }).
			WithTimeout(eventuallyTimeout).Should(Equal(8))
		for _, name := range []string{MetricBytesSent, MetricBytesReceived} {
			Expect(metrics.GetOrRegisterCounter(name, nodes[0].registry).Count()).To(BeNumerically(">", 0))
		}
	})

	It("refuse requests with a wrong peer key", func() {
		// Guards against unauthenticated nodes that join or read documents.
		seed := listenLoopback()
		owner := startNode("n0", seed, "key")
		intruder := startNode("n1", listenLoopback(), "guess", seed.Addr().String())
		Consistently(servingCount(owner)).WithTimeout(500 * time.Millisecond).Should(Equal(1))
		Expect(servingCount(intruder)()).To(Equal(1))
		_, err := intruder.fetchFrom(context.Background(), seed.Addr().String(), DocumentVersion{"config/current", 0})
		Expect(err).To(MatchError(ContainSubstring("unauthenticated")))
	})
})
