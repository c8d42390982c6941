package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// eventuallyTimeout limits every wait for an expected event.
const eventuallyTimeout = 30 * time.Second

// configuration returns the document of a revision without entries.
func configuration(revision uint64) peer.Document {
	body, err := json.Marshal(fleet.Configuration{Revision: fleet.Revision(revision)})
	Expect(err).NotTo(HaveOccurred())
	return peer.Document{DocumentVersion: peer.DocumentVersion{Name: ConfigurationName, Version: revision}, Body: body}
}

// offerOf returns an offer of a configuration revision.
func offerOf(revision uint64, fetch func() (peer.Document, error)) peer.Offer {
	return peer.Offer{
		DocumentVersion: peer.DocumentVersion{Name: ConfigurationName, Version: revision}, Peer: "b",
		Fetch: func(context.Context) (peer.Document, error) { return fetch() },
	}
}

var _ = Describe("Documents", func() {
	var (
		board     *blackboard.Board
		documents *Documents
	)
	revision := func() fleet.Revision {
		stored, _ := documents.Revision()
		return stored
	}
	BeforeEach(func() {
		board = &blackboard.Board{}
		documents = NewDocuments(board, log.NewNopLogger())
		DeferCleanup(documents.Close)
	})

	It("never replaces a version by an older one", func() {
		// Guards against a platform restored from a backup, or a stale peer, that
		// reverts an accepted configuration.
		Expect(documents.Publish(ConfigurationName, 5, configuration(5).Body)).To(BeTrue())
		Expect(documents.Publish(ConfigurationName, 4, configuration(4).Body)).To(BeFalse())
		documents.PublishEmpty()
		documents.Offer(offerOf(4, func() (peer.Document, error) { return configuration(4), nil }))
		Consistently(revision).WithTimeout(50 * time.Millisecond).Should(Equal(fleet.Revision(5)))
		Expect(board.Configuration.Load().Revision).To(Equal(fleet.Revision(5)))
	})

	It("refuses a body with a different version", func() {
		// Guards against a damaged body that is published as a newer revision.
		_, err := documents.Publish(ConfigurationName, 6, configuration(5).Body)
		Expect(err).To(HaveOccurred())
		Expect(board.Configuration.Load()).To(BeNil())
	})

	It("keeps placements of several fabric domains and refuses invalid ones", func() {
		// Guards against a placement that replaces that of another fabric domain, and
		// against an instance in two groups.
		for _, domain := range []string{"x", "y"} {
			body := fmt.Sprintf(`{"fabricDomain":%q,"nextGeneration":1}`, domain)
			Expect(documents.Publish(PlacementName(domain), 3, []byte(body))).To(BeTrue())
		}
		_, err := documents.Publish(PlacementName("x"), 4, []byte(`{"fabricDomain":"x","nextGeneration":9,"groups":[
			{"name":"g","members":[{"instance":"i"}]},{"name":"h","members":[{"instance":"i"}]}]}`))
		Expect(err).To(MatchError(ContainSubstring("instance i")))
		Expect(board.Placements.Load().ByDomain).To(HaveLen(2))
		Expect(board.Placements.Load().ByDomain["x"].Version).To(Equal(uint64(3)))
	})

	It("fetches a version once and tries another peer after a failure", func() {
		// Guards against concurrent fetches of one version from several peers, and
		// against waiting for a dead peer.
		var fetches atomic.Int32
		release := make(chan struct{})
		failing := offerOf(5, func() (peer.Document, error) {
			fetches.Add(1)
			<-release
			return peer.Document{}, errors.New("gone")
		})
		documents.Offer(failing)
		documents.Offer(offerOf(5, func() (peer.Document, error) {
			fetches.Add(1)
			return configuration(5), nil
		}))
		Eventually(fetches.Load).WithTimeout(eventuallyTimeout).Should(Equal(int32(1)))
		Expect(documents.NewestOffered()).To(Equal(fleet.Revision(5)))
		close(release)
		Eventually(revision).WithTimeout(eventuallyTimeout).Should(Equal(fleet.Revision(5)))
		Expect(fetches.Load()).To(Equal(int32(2)))
	})
})

// fakePlatform is a store with one configuration and fixed placements, and a source of
// an instance list.
type fakePlatform struct {
	object.Store
	mu       sync.Mutex
	version  object.Version
	revision uint64
	down     bool
}

// set replaces the configuration and sets whether reads of it fail.
func (f *fakePlatform) set(revision uint64, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.revision, f.down = revision, down
}

// GetIfNewer implements object.Store.
func (f *fakePlatform) GetIfNewer(_ context.Context, key object.Key, known object.Version) (object.Object, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return object.Object{}, false, object.ErrUnavailable
	case f.version == 0:
		return object.Object{}, false, object.ErrNotFound
	case f.version == known:
		return object.Object{}, false, nil
	}
	return object.Object{Key: key, Version: f.version, Value: configuration(f.revision).Body}, true, nil
}

// Watch implements object.Store.
func (f *fakePlatform) Watch(ctx context.Context, key object.Key, known object.Version, _ time.Duration) (object.Object, bool, error) {
	wait.For(ctx, 5*time.Millisecond)
	return f.GetIfNewer(ctx, key, known)
}

// WatchKind implements object.Store.
func (f *fakePlatform) WatchKind(ctx context.Context, _ string, cursor object.Version, _ time.Duration) (object.Listing, error) {
	wait.For(ctx, 5*time.Millisecond)
	body := []byte(`{"fabricDomain":"x","nextGeneration":1}`)
	return object.Listing{Cursor: 1, Changed: cursor != 1, Objects: []object.Object{
		{Key: object.Key{Kind: PlacementKind, Name: "broken"}, Version: 1, Value: []byte("{")},
		{Key: object.Key{Kind: PlacementKind, Name: "x"}, Version: 1, Value: body},
	}}, nil
}

// Instances implements InstanceSource.
func (f *fakePlatform) Instances(ctx context.Context, after uint64, _ time.Duration) (fleet.InstanceList, bool, error) {
	wait.For(ctx, 5*time.Millisecond)
	return fleet.InstanceList{Version: 1}, after != 1, nil
}

var _ = Describe("Sources and Confirmer", func() {
	It("publish and confirm revisions, and keep the newer one when the platform was restored", func() {
		// Guards against platform state that is not published or confirmed, and, after
		// the platform was restored from a backup, against a revert of the configuration
		// and against notes that are accepted on top of the old one.
		board, platform := &blackboard.Board{}, &fakePlatform{}
		documents := NewDocuments(board, log.NewNopLogger())
		DeferCleanup(documents.Close)
		confirmer := NewConfirmer(ConfirmerConfig{Self: "0", Seeds: []string{"0"}}, documents, board, log.NewNopLogger())
		sources := NewSources(SourcesConfig{
			Self: "a", PollInterval: 50 * time.Millisecond, BackoffMin: time.Millisecond, BackoffMax: 5 * time.Millisecond,
		}, platform, platform, documents, confirmer, board, log.NewNopLogger())
		ctx, cancel := context.WithCancel(context.Background())
		var background sync.WaitGroup
		background.Go(func() { _ = sources.Run(ctx) })
		background.Go(func() { _ = confirmer.Run(ctx) })
		DeferCleanup(func() { cancel(); background.Wait() })

		confirmed := func() fleet.Revision {
			if confirmation, ok := confirmer.Confirmation(); ok {
				return confirmation.Revision
			}
			return 99
		}
		Eventually(confirmed).WithTimeout(eventuallyTimeout).Should(Equal(fleet.Revision(0)))
		Eventually(func() bool { return board.Placements.Load() != nil && board.Instances.Load() != nil }).
			WithTimeout(eventuallyTimeout).Should(BeTrue())
		platform.set(7, true)
		platform.set(8, false)
		Eventually(confirmed).WithTimeout(eventuallyTimeout).Should(Equal(fleet.Revision(8)))
		Expect(board.Confirmation.Load().ServeUntil).To(BeTemporally(">", time.Now()))
		Expect(confirmer.MayAccept()).To(Succeed())

		platform.set(3, false)
		Eventually(func() bool { return board.Confirmation.Load().PlatformBehind }).
			WithTimeout(eventuallyTimeout).Should(BeTrue())
		Expect(board.Configuration.Load().Revision).To(Equal(fleet.Revision(8)))
		Expect(verdict.Of(confirmer.MayAccept()).Verdict).To(Equal(verdict.NotRun))
	})

	It("use the confirmations of peers and refuse notes without a majority", func() {
		// Guards against a node without access to the platform that stops serving
		// although a peer confirms its revision, and against notes that are accepted in
		// a minority.
		board, clock := &blackboard.Board{}, now
		documents := NewDocuments(board, log.NewNopLogger())
		DeferCleanup(documents.Close)
		confirmer := NewConfirmer(ConfirmerConfig{
			Self: "0", Seeds: voters(3), Now: func() time.Time { return clock },
		}, documents, board, log.NewNopLogger())
		Expect(documents.Publish(ConfigurationName, 5, configuration(5).Body)).To(BeTrue())
		confirmer.ObserveConfirmation("1", peer.Confirmation{Revision: 4, ConfirmedAt: ago(1)})
		Expect(board.Confirmation.Load().ServeUntil.IsZero()).To(BeTrue())
		confirmer.ObserveConfirmation("1", peer.Confirmation{Revision: 5, ConfirmedAt: ago(2)})
		Expect(board.Confirmation.Load().ServeUntil).To(Equal(ago(2).Add(9 * time.Second)))
		Expect(verdict.Of(confirmer.MayAccept()).Verdict).To(Equal(verdict.NotRun))

		board.Members.Publish(&blackboard.Members{Self: "a", All: []fleet.MemberView{
			{Member: fleet.Member{Node: "b", PeerAddress: "1"}, HeartbeatAt: now.Add(20 * time.Second)},
		}})
		clock = now.Add(21 * time.Second)
		Expect(confirmer.MayAccept()).To(Succeed())
		Expect(board.Confirmation.Load().ServeUntil).To(Equal(now.Add(25 * time.Second)))
	})
})

var _ = Describe("RankedWatchers", func() {
	It("selects all nodes in a small system and three per failure domain in a large one", func() {
		// Guards against 380 nodes that all hold watches, and against a failure domain
		// without a watching node.
		count := func(n int) map[string]int {
			serving := make([]fleet.MemberView, n)
			for i := range serving {
				serving[i].Member = fleet.Member{Node: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("d", i%5)}
			}
			watching := map[string]int{}
			for _, m := range serving {
				if (RankedWatchers{}).Watches(m.Node, serving) {
					watching[m.FailureDomain]++
				}
			}
			return watching
		}
		Expect(count(10)).To(Equal(map[string]int{"d0": 2, "d1": 2, "d2": 2, "d3": 2, "d4": 2}))
		Expect(count(380)).To(Equal(map[string]int{"d0": 3, "d1": 3, "d2": 3, "d3": 3, "d4": 3}))
	})
})
