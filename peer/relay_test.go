package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/health"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// designMembers returns members in 5 failure domains, in no order.
func designMembers(count int) []fleet.MemberView {
	members := make([]fleet.MemberView, count)
	for i := range members {
		members[i].Member = fleet.Member{Node: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("d%d", i%5),
			PeerAddress: fmt.Sprintf("a%d", i), State: fleet.NodeServing}
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(count, func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// reach returns the depth of every node that the tree below root reaches, when
// the named nodes do not answer and their parents know it.
func reach(order subtree, root string, silent map[string]bool) map[string]int {
	depths, next := map[string]int{root: 0}, []string{root}
	for len(next) > 0 {
		node := next[0]
		next = next[1:]
		for _, child := range order.childrenOf(node, root, silent) {
			Expect(depths).NotTo(HaveKey(child.Node))
			depths[child.Node] = depths[node] + 1
			if !silent[child.PeerAddress] {
				next = append(next, child.Node)
			}
		}
	}
	return depths
}

var _ = Describe("relay tree", func() {
	It("reaches every node once and is shallow", func() {
		// Guards against members that no round reaches, and against a tree in
		// which evidence is old before it arrives.
		for _, count := range []int{1, 2, 17, 64, 380} {
			order := relayOrder(designMembers(count))
			depths := reach(order, order[0].Node, nil)
			Expect(depths).To(HaveLen(count))
			for _, depth := range depths {
				Expect(depth).To(BeNumerically("<=", 4))
			}
		}
	})

	It("gives the children of a silent node to its parent", func() {
		// Guards against a dead relay that cuts off what is below it.
		order := relayOrder(designMembers(380))
		for _, top := range order.childrenOf(order[0].Node, order[0].Node, nil) {
			Expect(reach(order, order[0].Node, map[string]bool{top.PeerAddress: true})).To(HaveLen(380))
		}
		// The next node takes the place of a silent root.
		Expect(reach(order, order[1].Node, nil)).To(HaveLen(379))
	})

	It("leaves out suspect members and keeps the order with different members", func() {
		// Guards against rounds that wait for a dead node, and against two nodes
		// that take each other for their child and wait for each other.
		members := designMembers(64)
		members[7].State = fleet.NodeSuspect
		order := relayOrder(members)
		Expect(order.position(members[7].Node)).To(Equal(-1))
		Expect(order.childrenOf(members[7].Node, order[0].Node, nil)).To(BeEmpty())
		less := relayOrder(members[:40])
		for i, m := range less {
			for _, child := range less.childrenOf(m.Node, less[0].Node, nil) {
				Expect(less.position(child.Node)).To(BeNumerically(">", i))
				Expect(order.position(child.Node)).To(BeNumerically(">", order.position(m.Node)))
			}
		}
	})
})

var _ = Describe("whole responses", func() {
	It("leave out what their receiver told", func() {
		// Guards against traffic that grows with the depth of the tree, and
		// against news that is taken for an echo.
		var log echoLog
		members := designMembers(3)
		told := blackboard.Observation{Report: fleet.Report{Instance: "i"}, ObservedAt: start}
		response := &peerpb.ExchangeResponse{}
		d := newDigest(response, 0)
		d.heartbeats(members[1:], 100, start)
		d.evidence([]blackboard.Observation{told}, start)
		log.note(members[0].PeerAddress, response, start)

		fresh := told
		fresh.ObservedAt = start.Add(time.Millisecond)
		heard := []fleet.MemberView{members[1], members[2]}
		heard[1].Counter++
		others, evidence := log.filter(members[0].PeerAddress, heard, []blackboard.Observation{told, fresh})
		Expect(others).To(HaveLen(1))
		Expect(others[0].Counter).To(Equal(uint64(1)))
		Expect(evidence).To(Equal([]blackboard.Observation{fresh}))
	})
})

// pausedNode is a Node without its own goroutines and network.
type pausedNode struct {
	*Node
	fake  *Fake
	table *health.Table
}

// newPausedNode returns a node with the table of a real one, which keeps the newest
// evidence.
func newPausedNode(name string) *pausedNode {
	p := &pausedNode{fake: &Fake{}, table: health.NewTable(health.TableConfig{}, &blackboard.Section[blackboard.Evidence]{})}
	ports := p.fake.Ports()
	ports.Evidence = p.table
	var err error
	p.Node, err = New(Config{Self: fleet.Member{Node: name, Boot: NewBoot(time.Now()), PeerAddress: name}, Key: "key"},
		ports, &blackboard.Board{}, log.NewNopLogger(), metrics.NewRegistry())
	if err != nil {
		panic(err)
	}
	// More members than a full mesh has, so that evidence is passed on.
	for i, m := range designMembers(FullMeshMembers + 4) {
		m.Boot, m.Counter = bootAt(i), 1<<40
		p.roster.byNode[m.Node] = &record{member: m.Member, heardAt: time.Now().Add(time.Hour)}
	}
	return p
}

// Guards against a node that counts as heard although the configuration revision
// that it holds was cut off by the losses of a rack.
func TestBoundedResponseStatesTheConfigurationFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newPausedNode("p0")
		n.fake.SetDocument(Document{DocumentVersion{"config/current", 7}, nil})
		losses := make([]blackboard.Loss, 200)
		for i := range losses {
			losses[i] = blackboard.Loss{Instance: "instance", Boot: bootAt(i), At: time.Now()}
		}
		n.losses.add(losses)
		response := n.respond(&peerpb.ExchangeRequest{})
		g.Expect(response.GetDocuments()).To(HaveLen(1))
		g.Expect(response.GetLosses()).NotTo(BeEmpty())
		g.Expect(proto.Size(response)).To(BeNumerically("<=", DefaultDigestBytes))
	})
}

// late is a response under way.
type late struct {
	from     string
	response *peerpb.ExchangeResponse
	sentAt   time.Time
}

// Guards against evidence that looks younger than it is after
// delayed, paused, reordered or replayed messages over several relays.
func TestRelayedEvidenceIsNeverYounger(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { relayWithDelays(t, rand.New(rand.NewPCG(seed, 7))) })
	}
}

// relayWithDelays lets 5 nodes exchange with random delays. The number of running
// requests tells which probe a piece of evidence comes from.
func relayWithDelays(t *testing.T, random *rand.Rand) {
	nodes := make([]*pausedNode, 5)
	for i := range nodes {
		nodes[i] = newPausedNode(fmt.Sprintf("p%d", i))
	}
	probed := map[int]time.Time{}
	underWay := make([][]late, len(nodes))
	delay := func(most time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(most)))) }
	received := 0
	for step := range 400 {
		if random.IntN(5) == 0 {
			probed[step] = time.Now()
			nodes[0].table.Observe(blackboard.Observation{Observer: "p0", ObservedAt: time.Now(),
				Report: fleet.Report{Instance: "i", Boot: "1", Running: step}})
		}
		i := random.IntN(len(nodes))
		asked := nodes[random.IntN(len(nodes))]
		if asked != nodes[i] {
			request := nodes[i].request(time.Now())
			request.Whole = random.IntN(3) > 0
			request.WantedRecords = []uint64{reportHash(&fleet.Report{Instance: "i", Boot: "1"})}
			sentAt := time.Now()
			delay(300 * time.Millisecond)
			response := proto.CloneOf(asked.respond(request))
			underWay[i] = append(underWay[i], late{asked.config.Self.Node, response, sentAt})
		}
		delay(100 * time.Millisecond)
		for range random.IntN(3) {
			// Responses arrive in any order, some of them twice.
			if n := len(underWay[i]); n > 0 {
				at := random.IntN(n)
				l := underWay[i][at]
				nodes[i].absorb(proto.CloneOf(l.response), l.from, l.sentAt)
				nodes[i].echo.note(l.from, l.response, l.sentAt)
				if random.IntN(4) > 0 {
					underWay[i] = append(underWay[i][:at], underWay[i][at+1:]...)
				}
			}
		}
		for _, n := range nodes[1:] {
			if o, ok := n.table.Get("i"); ok {
				received++
				if at := probed[o.Report.Running]; o.ObservedAt.After(at) {
					t.Fatalf("step %d: evidence of %v is dated %v", step, at, o.ObservedAt)
				}
			}
		}
	}
	if received < 100 {
		t.Fatalf("evidence was seen only %d times", received)
	}
}
