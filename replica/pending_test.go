package replica

import (
	"context"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// acknowledgingPeers acknowledges pending revisions for the given peer addresses.
type acknowledgingPeers []string

func (p acknowledgingPeers) Prepare(context.Context, fleet.Revision) []string { return p }

var _ = Describe("a pending revision", func() {
	var (
		board     *blackboard.Board
		documents *Documents
		confirmer *Confirmer
		clock     time.Time
	)

	// contact publishes members with a heartbeat at the current time at addresses.
	contact := func(addresses ...string) {
		members := &blackboard.Members{Self: "0"}
		for _, a := range addresses {
			members.All = append(members.All, fleet.MemberView{
				Member: fleet.Member{Node: a, PeerAddress: a}, HeartbeatAt: clock,
			})
		}
		board.Members.Publish(members)
	}

	serves := func() bool {
		confirmer.Update()
		return board.Confirmation.Load().ServeUntil.After(clock)
	}

	BeforeEach(func() {
		board, clock = &blackboard.Board{}, now
		documents = NewDocuments(board, log.NewNopLogger())
		DeferCleanup(documents.Close)
		confirmer = NewConfirmer(ConfirmerConfig{
			Self: "0", Seeds: voters(3), Now: func() time.Time { return clock },
		}, documents, board, log.NewNopLogger())
		Expect(documents.Publish(ConfigurationName, 5, configuration(5).Body)).To(BeTrue())
		confirmer.ObserveRead(PlatformRead{PlatformRevision: 5, LocalRevision: 5, SentAt: clock})
	})

	It("stops a majority that cannot find out whether it was accepted", func() {
		// Guards against nodes that continue to serve with an old revision after the
		// node that accepted the next one died and the platform failed.
		confirmer.ObservePending(peer.PendingRevision{Revision: 6, PreparedAt: clock})
		Expect(serves()).To(BeTrue())
		clock = clock.Add(10 * time.Second)
		contact("1", "2")
		Expect(serves()).To(BeFalse())
	})

	It("is dropped if an older revision is still confirmed after the pending timeout", func() {
		// Guards against a refused note whose pending revision makes the nodes stop
		// serving in a later platform outage.
		confirmer.ObservePending(peer.PendingRevision{Revision: 6, PreparedAt: clock})
		clock = clock.Add(11 * time.Second)
		confirmer.ObserveRead(PlatformRead{PlatformRevision: 5, LocalRevision: 5, SentAt: clock})
		_, pending := confirmer.Pending()
		Expect(pending).To(BeFalse())
		// A peer that still passes it on does not make it pending again.
		confirmer.ObservePending(peer.PendingRevision{Revision: 6, PreparedAt: now})
		clock = clock.Add(10 * time.Second)
		contact("1", "2")
		Expect(serves()).To(BeTrue())
	})

	It("is refused unless a majority acknowledges it", func() {
		// Guards against a write while a majority that has not received the pending
		// revision continues to serve.
		contact("1", "2")
		confirmer.SetPreparer(acknowledgingPeers{})
		Expect(verdict.Of(confirmer.Prepare(context.Background(), 6)).Verdict).To(Equal(verdict.NotRun))
		confirmer.SetPreparer(acknowledgingPeers{"1"})
		Expect(confirmer.Prepare(context.Background(), 6)).To(Succeed())
	})

	It("keeps a restarted process not ready until it has contact with a majority of others", func() {
		// Guards against a member that lost a pending revision in a restart and
		// completes a majority of nodes that never received it.
		restarted := NewConfirmer(ConfirmerConfig{
			Self: "0", Seeds: voters(3), Now: func() time.Time { return clock },
		}, documents, board, log.NewNopLogger())
		Expect(restarted.Ready()).To(BeFalse())
		contact("1")
		Expect(restarted.Ready()).To(BeFalse())
		contact("1", "2")
		Expect(restarted.Ready()).To(BeTrue())
	})
})
