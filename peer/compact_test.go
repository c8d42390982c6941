package peer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// answerAt returns a response whose changing fields depend on round.
func answerAt(round uint32, state string) *peerpb.ExchangeResponse {
	return &peerpb.ExchangeResponse{
		Responder:    &peerpb.Member{Node: "a", Boot: "b", PeerAddress: "x", Counter: uint64(round)},
		Members:      []*peerpb.Member{{Node: "c", PeerAddress: "y", Counter: uint64(round) + 1, AgeMs: round}},
		Documents:    []*peerpb.DocumentVersion{{Name: "config/current", Version: 7}},
		Evidence:     []*peerpb.Evidence{{Instance: "i", State: state, AgeMs: round, Running: round, QueuedPromptTokens: 1, FreeKvTokens: 2}},
		Confirmation: &peerpb.Confirmation{Revision: 7, AgeMs: round},
	}
}

var _ = Describe("shortened responses", func() {
	var bases baseLog

	// exchange returns what the requester takes in, and whether it was shortened.
	exchange := func(r *peerpb.ExchangeResponse) (*peerpb.ExchangeResponse, bool) {
		Expect(shorten(r, bases.known("x"))).To(Succeed())
		short := r.GetChanges() != nil
		whole, err := bases.expand("x", r)
		Expect(err).NotTo(HaveOccurred())
		whole = proto.CloneOf(whole)
		whole.Hash = 0
		return whole, short
	}

	BeforeEach(func() { bases = baseLog{} })

	It("say the same as whole ones", func() {
		// Guards against ages, counters or roles of an earlier round, which would
		// make evidence look fresher than it is or a group look complete.
		for round, want := range []bool{false, true, true} {
			got, short := exchange(answerAt(uint32(round), "ready"))
			Expect(short).To(Equal(want))
			Expect(proto.Equal(got, answerAt(uint32(round), "ready"))).To(BeTrue())
		}
		got, short := exchange(answerAt(9, "idle"))
		Expect(short).To(BeFalse())
		Expect(proto.Equal(got, answerAt(9, "idle"))).To(BeTrue())
	})

	It("are refused without the response that they refer to", func() {
		// Guards against changes that are joined to another process's members.
		exchange(answerAt(1, "ready"))
		next := answerAt(2, "ready")
		Expect(shorten(next, bases.known("x"))).To(Succeed())
		Expect(next.GetChanges()).NotTo(BeNil())
		_, err := new(baseLog).expand("x", proto.CloneOf(next))
		Expect(err).To(MatchError(errUnknownBase))
		next.Changes.Running = nil
		_, err = bases.expand("x", next)
		Expect(err).To(MatchError(errUnknownBase))
		Expect(bases.known("x")).To(BeZero())
	})
})

var _ = Describe("evidence of this node", func() {
	It("gives another observer's turn a place but no age that counts", func() {
		// Guards against passing on another node's evidence as newer than it is.
		var own ownLog
		now := time.Now()
		seen := func(observer string) []blackboard.Observation {
			return []blackboard.Observation{{Observer: observer, ObservedAt: now,
				Report: fleet.Report{Instance: "i", State: fleet.EngineReady, Running: 3}}}
		}
		Expect(own.choose("a", seen("b"), now)).To(BeEmpty())
		Expect(own.choose("a", seen("a"), now)).To(Equal(seen("a")))
		kept := own.choose("a", seen("b"), now)
		Expect(kept).To(HaveLen(1))
		Expect(decodeAge(encodeEvidence(&kept[0], now).GetAgeMs())).To(BeNumerically(">=", time.Minute))
		Expect(own.choose("a", seen("b"), now.Add(ownRetention))).To(BeEmpty())
	})
})
