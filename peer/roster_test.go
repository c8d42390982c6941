package peer

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

var start = time.Unix(1_700_000_000, 0)

// bootAt returns the boot id of a process that was started the given number of seconds
// after start.
func bootAt(seconds int) string { return NewBoot(start.Add(time.Duration(seconds) * time.Second)) }

var _ = Describe("boot ids", func() {
	It("orders boots by their start time", func() {
		// Guards against an old process whose record replaces that of its successor.
		Expect(newerBoot(bootAt(2), bootAt(1))).To(BeTrue())
		Expect(newerBoot(bootAt(1), bootAt(2))).To(BeFalse())
		Expect(validBoot("later")).To(BeFalse())
	})
})

var _ = Describe("roster", func() {
	var (
		r           *roster
		first, next string
	)
	record := func(boot string, counter uint64, ageMs uint32) *peerpb.Member {
		return &peerpb.Member{Node: "b", Boot: boot, Counter: counter, AgeMs: ageMs, PeerAddress: "127.0.0.1:2"}
	}
	find := func(now time.Time) *fleet.MemberView {
		for _, m := range r.members(now) {
			if m.Node == "b" {
				return &m
			}
		}
		return nil
	}
	BeforeEach(func() {
		config := Config{Self: fleet.Member{Node: "a", Boot: bootAt(0)}}.withDefaults()
		r = newRoster(&config)
		first, next = bootAt(1), bootAt(2)
	})

	It("rejects the messages of a process that has a successor", func() {
		// Guards against a paused process that resumes after its successor has started.
		Expect(r.acceptResponse(record(first, 9, 0), start)).To(BeTrue())
		Expect(r.acceptResponse(record(next, 1, 0), start)).To(BeTrue())
		Expect(r.acceptResponse(record(first, 10, 0), start)).To(BeFalse())
		accepted, _ := r.acceptRequest(record(first, 11, 0))
		Expect(accepted).To(BeFalse())
		r.mergeRelayedMember(record(first, 12, 0), start, start)
		Expect(find(start).Boot).To(Equal(next))
	})

	It("rejects responses without a higher counter", func() {
		// Guards against a delayed response that overwrites the state of a newer one.
		Expect(r.acceptResponse(record(first, 5, 0), start)).To(BeTrue())
		Expect(r.acceptResponse(record(first, 5, 0), start.Add(time.Second))).To(BeFalse())
		Expect(find(start).HeartbeatAt).To(Equal(start))
	})

	It("computes the time of a relayed heartbeat from its age and the time of the request", func() {
		// Guards against a relay, or a pause between request and response, that
		// makes an old heartbeat look fresh.
		sent := start.Add(10 * time.Second)
		r.mergeRelayedMember(record(first, 5, 2000), sent, sent.Add(4*time.Second))
		Expect(find(sent).HeartbeatAt).To(Equal(sent.Add(-2 * time.Second)))
		Expect(find(sent.Add(2 * time.Second)).State).To(Equal(fleet.NodeSuspect))
	})

	It("does not refresh a heartbeat from a request", func() {
		// Guards against a request that is read long after it was sent and makes a
		// stopped node look alive.
		Expect(r.acceptResponse(record(first, 1, 0), start)).To(BeTrue())
		accepted, _ := r.acceptRequest(record(first, 2, 0))
		Expect(accepted).To(BeTrue())
		Expect(find(start.Add(4 * time.Second)).State).To(Equal(fleet.NodeSuspect))
	})

	It("adds a dead member again only for a newer heartbeat", func() {
		// Guards against stale relayed records that add a dead member again.
		Expect(r.acceptResponse(record(first, 5, 0), start)).To(BeTrue())
		now := start.Add(10 * time.Second)
		Expect(find(now)).To(BeNil())
		r.mergeRelayedMember(record(first, 5, 100), now, now)
		Expect(find(now)).To(BeNil())
		r.mergeRelayedMember(record(first, 6, 10_000), now, now)
		Expect(find(now)).To(BeNil())
		r.mergeRelayedMember(record(first, 6, 100), now, now)
		Expect(find(now)).NotTo(BeNil())
	})

	It("keeps the leaving mark until the node restarts", func() {
		// Guards against new work that is sent to a stopping node.
		leaving := record(first, 5, 0)
		leaving.Leaving = true
		r.acceptResponse(leaving, start)
		r.mergeRelayedMember(record(first, 6, 0), start, start)
		Expect(find(start).State).To(Equal(fleet.NodeLeaving))
		r.acceptResponse(record(next, 1, 0), start)
		Expect(find(start).State).To(Equal(fleet.NodeServing))
	})

	It("merges heartbeats only into the record with the same hash", func() {
		// Guards against a stale heartbeat, or one of an old boot, that refreshes a
		// member, and against a leaving mark that is not passed on.
		Expect(r.acceptResponse(record(first, 5, 0), start)).To(BeTrue())
		sent := start.Add(4 * time.Second)
		heartbeat := func(member *peerpb.Member, ageMs uint32) *peerpb.Heartbeats {
			view := fleet.MemberView{Member: decodeMember(member), HeartbeatAt: sent.Add(-decodeAge(ageMs))}
			if member.GetLeaving() {
				view.State = fleet.NodeLeaving
			}
			h := &peerpb.Heartbeats{}
			appendHeartbeat(h, &view, sent)
			return h
		}
		Expect(r.mergeRelayedHeartbeats(heartbeat(record(first, 5, 0), 0), sent, sent)).To(BeEmpty())
		Expect(find(sent).HeartbeatAt).To(Equal(start))
		Expect(r.mergeRelayedHeartbeats(heartbeat(record(first, 6, 0), 1000), sent, sent)).To(BeEmpty())
		Expect(find(sent).HeartbeatAt).To(Equal(sent.Add(-time.Second)))
		Expect(r.mergeRelayedHeartbeats(heartbeat(record(next, 1, 0), 10_000), sent, sent)).To(BeEmpty())
		Expect(r.mergeRelayedHeartbeats(heartbeat(record(next, 1, 0), 0), sent, sent)).To(HaveLen(1))
		leaving := record(first, 6, 0)
		leaving.Leaving = true
		Expect(r.mergeRelayedHeartbeats(heartbeat(leaving, 0), sent, sent)).To(HaveLen(1))
	})

	It("detects its own successor", func() {
		// Guards against two processes that both act as the same node.
		r.mergeRelayedMember(&peerpb.Member{Node: "a", Boot: next, Counter: 1}, start, start)
		Expect(r.isSuperseded()).To(BeTrue())
	})
})

var _ = Describe("messages", func() {
	It("rounds ages up", func() {
		// Guards against evidence that looks fresher than it is.
		Expect(encodeAge(start, start.Add(time.Microsecond))).To(Equal(uint32(1)))
		Expect(encodeAge(start.Add(time.Second), start)).To(Equal(uint32(0)))
	})

	It("limits the size of a bounded response", func() {
		// Guards against responses that grow with the number of members.
		response := &peerpb.ExchangeResponse{Responder: &peerpb.Member{Node: "a", Boot: bootAt(0)}}
		b := newResponseBuilder(response, DefaultGossipResponseBytes)
		b.addDocuments(make([]DocumentVersion, 300), 0)
		members := make([]fleet.MemberView, 380)
		for i := range members {
			members[i].Member = fleet.Member{Node: "node", Boot: bootAt(i), PeerAddress: "127.0.0.1:2"}
		}
		evidence := make([]blackboard.Observation, 600)
		b.addHeartbeats(members, heartbeatPercent, start)
		b.addEvidence(evidence, start)
		Expect(proto.Size(response)).To(And(BeNumerically("<=", DefaultGossipResponseBytes), BeNumerically(">", 300)))
		Expect(response.GetHeartbeats().GetRecord()).NotTo(BeEmpty())
		Expect(response.GetEvidenceDigest().GetRecord()).NotTo(BeEmpty())
		Expect(response.GetDocumentsHash()).To(BeZero())
	})
})
