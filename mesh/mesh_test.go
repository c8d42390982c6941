package mesh

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/suspicion"
)

func TestMesh(t *testing.T) {
	t.Parallel()
	RegisterFailHandler(Fail)
	RunSpecs(t, "mesh")
}

// startMesh starts the mesh of node i, with the first node as its only seed.
func startMesh(i int) (*Mesh, context.CancelFunc) {
	address := fmt.Sprintf("127.0.92.%d:18501", i)
	m := New(Config{Node: fmt.Sprint("n", i), Address: address, Seeds: []string{"127.0.92.1:18501"}}, func() State {
		return State{Node: Node{Name: fmt.Sprint("n", i), PeerAddress: address, Serving: true},
			Load: map[uint32]Load{Key("i-1"): NewLoad(i, i == 2)}, Suspects: map[uint32]suspicion.Report{Key("i-9"): suspicion.Evidence{Hold: suspicion.Silent}.Report(0)}}
	}, nil, log.NewNopLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() { _ = m.Run(ctx) }()
	return m, cancel
}

var _ = Describe("Mesh", func() {
	It("sends every node the state of the others, and drops a node that stops sending", func() {
		// Guards against load of other nodes that a node doesn't take into account.
		first, _ := startMesh(1)
		second, _ := startMesh(2)
		third, stop := startMesh(3)
		Eventually(second.Nodes, 5*time.Second).Should(Equal(3))
		Eventually(func() int { return third.Running("i-1") }, 5*time.Second).Should(Equal(3))
		Expect(first.Progress("i-1")).To(BeTrue())
		Expect(first.Evidence("i-9").Silent()).To(BeNumerically(">=", 2))
		stop()
		Eventually(second.Nodes, 5*time.Second).Should(Equal(2))
		Eventually(func() int { return second.Running("i-1") }, time.Second).Should(Equal(1))
	})

	It("has released its address when it returns", func() {
		// Guards against a node that is stopped and started again in one process, and can't
		// open its socket.
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := conn.LocalAddr().String()
		Expect(conn.Close()).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 100 {
			m := New(Config{Address: address}, nil, nil, log.NewNopLogger(), metrics.NewRegistry())
			Expect(m.Run(ctx)).To(Succeed())
		}
	})

	It("rejects an older state of the same process, and accepts a restarted node whatever its clock", func() {
		// Guards against datagrams that arrive out of order, and against the rejection of
		// a node that restarted after its clock was set back.
		m := New(Config{Address: "127.0.92.9:1"}, nil, nil, log.NewNopLogger(), metrics.NewRegistry())
		now := time.Now()
		accept := func(boot int64, count uint64, at time.Time) uint64 {
			m.acceptState(&State{Node: Node{Name: "n", PeerAddress: "127.0.92.8:1", Boot: boot, Count: count}}, at)
			for _, other := range m.byAddress {
				return other.state.Node.Count
			}
			return 0
		}
		Expect(accept(10, 5, now)).To(BeEquivalentTo(5))
		Expect(accept(10, 4, now)).To(BeEquivalentTo(5))
		Expect(accept(9, 7, now.Add(100*time.Millisecond))).To(BeEquivalentTo(5))
		Expect(accept(9, 8, now.Add(2*stateLifetime))).To(BeEquivalentTo(8))
	})

	It("fits a state and a summary with many instances into a datagram", func() {
		// Guards against fragmented datagrams, which get lost more often, in a large
		// deployment.
		s := State{Node: Node{Name: "edge-port-spain-1", CallerAddress: "10.100.200.40:8227", PeerAddress: "10.100.200.40:7340",
			Serving: true}, Load: map[uint32]Load{}, Waiting: map[string]uint16{"m": 3}}
		for i := range 90 {
			s.Load[Key(fmt.Sprint("i", i))] = NewLoad(3, true)
		}
		for i := range maxKnownPeers {
			s.KnownPeers = append(s.KnownPeers, fmt.Sprintf("10.100.200.%d:7340", 100+i))
		}
		data, err := encodeState(&s)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<=", maxDatagram))
		back, _, err := decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(back.State.Load[Key("i3")].Requests()).To(Equal(3))
		Expect(back.State.Load[Key("i3")].Progress()).To(BeTrue())
		sum := newSum()
		for i := range 300 {
			s.Node.Name = fmt.Sprint("edge-", i)
			sum.addState(&s)
		}
		parts, _, err := encodeSummary(Summary{From: s.Node, Sum: sum, Members: make([]Member, maxReported)})
		Expect(err).NotTo(HaveOccurred())
		Expect(parts).To(HaveLen(1))
		Expect(len(parts[0])).To(BeNumerically("<=", maxDatagram))
		_, _, err = decode([]byte("x"))
		Expect(err).To(HaveOccurred())
	})
})
