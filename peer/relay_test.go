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

// testMembers returns members in 5 failure domains, in shuffled order.
func testMembers(count int) []fleet.MemberView {
	members := make([]fleet.MemberView, count)
	for i := range members {
		members[i].Member = fleet.Member{Node: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("d%d", i%5),
			PeerAddress: fmt.Sprintf("a%d", i), State: fleet.NodeServing}
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(count, func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// nodeDepths returns the depth of every node that the relay tree with the given root
// reaches if the nodes in unresponsive do not respond and their parents have recorded
// that.
func nodeDepths(order subtree, root string, unresponsive map[string]bool) map[string]int {
	depths, next := map[string]int{root: 0}, []string{root}
	for len(next) > 0 {
		node := next[0]
		next = next[1:]
		for _, child := range order.childrenOf(node, root, unresponsive) {
			Expect(depths).NotTo(HaveKey(child.Node))
			depths[child.Node] = depths[node] + 1
			if !unresponsive[child.PeerAddress] {
				next = append(next, child.Node)
			}
		}
	}
	return depths
}

var _ = Describe("relay tree", func() {
	It("reaches every node once and has at most 4 levels below the root", func() {
		// Guards against members that no round reaches, and against a tree that is so
		// deep that evidence is too old when it arrives.
		for _, count := range []int{1, 2, 17, 64, 380} {
			order := relayOrder(testMembers(count))
			depths := nodeDepths(order, order[0].Node, nil)
			Expect(depths).To(HaveLen(count))
			for _, depth := range depths {
				Expect(depth).To(BeNumerically("<=", 4))
			}
		}
	})

	It("moves the children of an unresponsive node to its parent", func() {
		// Guards against a dead node that cuts off the subtree below it.
		order := relayOrder(testMembers(380))
		for _, top := range order.childrenOf(order[0].Node, order[0].Node, nil) {
			Expect(nodeDepths(order, order[0].Node, map[string]bool{top.PeerAddress: true})).To(HaveLen(380))
		}
		// The next node replaces an unresponsive root.
		Expect(nodeDepths(order, order[1].Node, nil)).To(HaveLen(379))
	})

	It("excludes suspect members and keeps the order if some members are missing", func() {
		// Guards against rounds that wait for a dead node, and against a deadlock of
		// two nodes that are each a child of the other in their own views.
		members := testMembers(64)
		members[7].State = fleet.NodeSuspect
		order := relayOrder(members)
		Expect(order.index(members[7].Node)).To(Equal(-1))
		Expect(order.childrenOf(members[7].Node, order[0].Node, nil)).To(BeEmpty())
		fewer := relayOrder(members[:40])
		for i, m := range fewer {
			for _, child := range fewer.childrenOf(m.Node, fewer[0].Node, nil) {
				Expect(fewer.index(child.Node)).To(BeNumerically(">", i))
				Expect(order.index(child.Node)).To(BeNumerically(">", order.index(m.Node)))
			}
		}
	})
})

var _ = Describe("full responses", func() {
	It("omit entries that were received from their requester", func() {
		// Guards against traffic that grows with the depth of the tree, and against
		// newer entries that are removed as well.
		var horizon splitHorizon
		members := testMembers(3)
		known := blackboard.Observation{Report: fleet.Report{Instance: "i"}, ObservedAt: start}
		response := &peerpb.ExchangeResponse{}
		b := newResponseBuilder(response, 0)
		b.addHeartbeats(members[1:], 100, start)
		b.addEvidence([]blackboard.Observation{known}, start)
		horizon.record(members[0].PeerAddress, response, start)

		fresh := known
		fresh.ObservedAt = start.Add(time.Millisecond)
		current := []fleet.MemberView{members[1], members[2]}
		current[1].Counter++
		others, evidence := horizon.filter(members[0].PeerAddress, current, []blackboard.Observation{known, fresh})
		Expect(others).To(HaveLen(1))
		Expect(others[0].Counter).To(Equal(uint64(1)))
		Expect(evidence).To(Equal([]blackboard.Observation{fresh}))
	})
})

// offlineNode is a Node without goroutines and network.
type offlineNode struct {
	*Node
	fake  *Fake
	table *health.Table
}

// newOfflineNode returns a node with a real evidence table, which keeps the newest
// evidence.
func newOfflineNode(name string) *offlineNode {
	n := &offlineNode{fake: &Fake{}, table: health.NewTable(health.TableConfig{}, &blackboard.Section[blackboard.Evidence]{})}
	deps := n.fake.Dependencies()
	deps.Evidence = n.table
	var err error
	n.Node, err = New(Config{Self: fleet.Member{Node: name, Boot: NewBoot(time.Now()), PeerAddress: name}, Key: "key"},
		deps, &blackboard.Board{}, log.NewNopLogger(), metrics.NewRegistry())
	if err != nil {
		panic(err)
	}
	// With more members than a full mesh has, nodes pass on evidence of others.
	for i, m := range testMembers(FullMeshMembers + 4) {
		m.Boot, m.Counter = bootAt(i), 1<<40
		n.roster.byNode[m.Node] = &memberRecord{member: m.Member, heartbeatAt: time.Now().Add(time.Hour)}
	}
	return n
}

// Guards against a node that counts as alive although its configuration revision did
// not fit into the response because of the losses of a whole rack.
func TestBoundedResponseIncludesConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newOfflineNode("p0")
		n.fake.SetDocument(Document{DocumentVersion{"config/current", 7}, nil})
		losses := make([]blackboard.Loss, 200)
		for i := range losses {
			losses[i] = blackboard.Loss{Instance: "instance", Boot: bootAt(i), At: time.Now()}
		}
		n.losses.add(losses)
		response := n.buildResponse(&peerpb.ExchangeRequest{})
		g.Expect(response.GetDocuments()).To(HaveLen(1))
		g.Expect(response.GetLosses()).NotTo(BeEmpty())
		g.Expect(proto.Size(response)).To(BeNumerically("<=", DefaultGossipResponseBytes))
	})
}

// delayedResponse is a response in flight.
type delayedResponse struct {
	responder string
	response  *peerpb.ExchangeResponse
	sentAt    time.Time
}

// Guards against evidence that looks younger than it is after messages were delayed,
// paused, reordered or replayed on several hops.
func TestRelayedEvidenceNeverLooksFresher(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { exchangeWithDelays(t, rand.New(rand.NewPCG(seed, 7))) })
	}
}

// exchangeWithDelays performs exchanges between 5 nodes with random delays. The number
// of running requests in a report identifies the probe that it comes from.
func exchangeWithDelays(t *testing.T, random *rand.Rand) {
	nodes := make([]*offlineNode, 5)
	for i := range nodes {
		nodes[i] = newOfflineNode(fmt.Sprintf("p%d", i))
	}
	probedAt := map[int]time.Time{}
	inFlight := make([][]delayedResponse, len(nodes))
	sleepUpTo := func(limit time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(limit)))) }
	observed := 0
	for step := range 400 {
		if random.IntN(5) == 0 {
			probedAt[step] = time.Now()
			nodes[0].table.Observe(blackboard.Observation{Observer: "p0", ObservedAt: time.Now(),
				Report: fleet.Report{Instance: "i", Boot: "1", Running: step}})
		}
		i := random.IntN(len(nodes))
		responder := nodes[random.IntN(len(nodes))]
		if responder != nodes[i] {
			request := nodes[i].buildRequest(time.Now())
			request.Whole = random.IntN(3) > 0
			request.WantedRecords = []uint64{reportHash(&fleet.Report{Instance: "i", Boot: "1"})}
			sentAt := time.Now()
			sleepUpTo(300 * time.Millisecond)
			response := proto.CloneOf(responder.buildResponse(request))
			inFlight[i] = append(inFlight[i], delayedResponse{responder.config.Self.Node, response, sentAt})
		}
		sleepUpTo(100 * time.Millisecond)
		for range random.IntN(3) {
			// Responses arrive in random order, some of them more than once.
			if n := len(inFlight[i]); n > 0 {
				at := random.IntN(n)
				delayed := inFlight[i][at]
				nodes[i].mergeResponse(proto.CloneOf(delayed.response), delayed.responder, delayed.sentAt)
				nodes[i].splitHorizon.record(delayed.responder, delayed.response, delayed.sentAt)
				if random.IntN(4) > 0 {
					inFlight[i] = append(inFlight[i][:at], inFlight[i][at+1:]...)
				}
			}
		}
		for _, n := range nodes[1:] {
			if o, ok := n.table.Get("i"); ok {
				observed++
				if at := probedAt[o.Report.Running]; o.ObservedAt.After(at) {
					t.Fatalf("step %d: evidence from a probe at %v has the later observation time %v", step, at, o.ObservedAt)
				}
			}
		}
	}
	if observed < 100 {
		t.Fatalf("evidence was observed %d times, want at least 100", observed)
	}
}
