package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
)

// turnedAway is a store that at some time answers no more.
type turnedAway struct{ down, silent atomic.Bool }

func (t *turnedAway) List(context.Context, string) (object.Listing, error) {
	return object.Listing{Cursor: 5, Changed: true}, nil
}

func (t *turnedAway) Changes(ctx context.Context, _ string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) || t.silent.Load(); time.Sleep(10 * time.Millisecond) {
		if t.down.Load() || ctx.Err() != nil {
			return follow.Delta{}, object.ErrUnavailable
		}
	}
	return follow.Delta{Cursor: cursor}, nil
}

// Guards against a revoked key that stays in force because the node whose copy is
// followed is turned away by the store, at once or in silence (hunt-ccd7-31).
func TestRefusesFollowersOnceTheStoreIsLost(t *testing.T) {
	for name, fail := range map[string]func(*turnedAway){
		"reset":  func(s *turnedAway) { s.down.Store(true) },
		"silent": func(s *turnedAway) { s.silent.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &turnedAway{}
			f := follow.New(follow.Config{Kind: platform.ConfigurationKind, Wait: watchWait}, store, log.NewNopLogger())
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { _ = f.Run(ctx); close(done) }()
			defer func() { cancel(); <-done }()
			d := &Documents{configurations: f, instances: f}
			server := httptest.NewServer(d.Handler())
			defer server.Close()
			guide := &mesh.Node{Name: "guide", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
			r := &relay{}
			time.Sleep(100 * time.Millisecond)
			delta, err := r.follow(ctx, guide, platform.ConfigurationKind, 5, 50*time.Millisecond)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(delta.Events).To(BeEmpty())
			fail(store)
			failed := time.Now()
			g.Eventually(func() error {
				_, err := r.follow(ctx, guide, platform.ConfigurationKind, 5, watchWait)
				return err
			}, 5*time.Second, time.Millisecond).ShouldNot(Succeed())
			// The change has to be fetched and applied within two seconds.
			g.Expect(time.Since(failed)).To(BeNumerically("<", 1600*time.Millisecond))
		})
	}
}

// Guards against calls to the store that grow with the nodes, and against one node
// that all others follow.
func TestGuides(t *testing.T) {
	g := NewWithT(t)
	var nodes []*mesh.Node
	for i := range 88 {
		nodes = append(nodes, &mesh.Node{Name: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("z", i%3), Capacity: 19, Serving: true})
	}
	alone := 0
	followers := map[string]int{}
	for _, n := range nodes {
		guides := guidesOf(*n, nodes)
		if len(guides) == 0 {
			alone++
			continue
		}
		followers[guides[0].Name]++
		g.Expect(guides).NotTo(ContainElement(HaveField("Name", n.Name)))
	}
	g.Expect(alone).To(Equal(1))
	g.Expect(followers).To(HaveLen(3))
	for _, n := range followers {
		g.Expect(n).To(BeNumerically("<=", 31))
	}
}

// Guards against a flood of calls while the store is down, and against nodes that
// wait for guides that the store turns away.
func TestAsksTheStoreAfterItsGuides(t *testing.T) {
	g := NewWithT(t)
	r := &relay{logger: log.NewNopLogger()}
	now := time.Now()
	var guides []*mesh.Node
	for i := range 5 {
		guides = append(guides, &mesh.Node{Name: fmt.Sprint("n", i)})
	}
	usable, own := r.usable(guides, now)
	g.Expect(usable).To(HaveLen(maxGuides))
	g.Expect(own).To(BeFalse())
	for _, guide := range guides[:4] {
		r.fail(guide, object.ErrUnavailable, now)
	}
	usable, own = r.usable(guides, now)
	g.Expect(usable).To(HaveLen(1))
	g.Expect(own).To(BeTrue())
	g.Expect(r.mayAskStore(now)).To(BeTrue())
	r.storeFailed(len(guides), now)
	g.Expect(r.mayAskStore(now.Add(400 * time.Millisecond))).To(BeFalse())
	g.Expect(r.mayAskStore(now.Add(500 * time.Millisecond))).To(BeTrue())
	usable, _ = r.usable(guides, now.Add(relayPause))
	g.Expect(usable[0].Name).To(Equal("n0"))
}

// Guards against nodes that all ask the store again when the one that watches it lost
// its history, and that wait for each other (scale-2 of maracas-hq-grown).
func TestTakesTheGuidesCopyWhenItsHistoryIsGone(t *testing.T) {
	g := NewWithT(t)
	f := follow.New(follow.Config{Kind: platform.ConfigurationKind, Wait: watchWait}, &turnedAway{}, log.NewNopLogger())
	f.Adopt(follow.Snapshot{Cursor: 9, Objects: []object.Object{{Key: object.Key{Kind: platform.ConfigurationKind, Name: "main"}, Version: 9}}})
	server := httptest.NewServer((&Documents{configurations: f, instances: f}).Handler())
	defer server.Close()
	settings := DefaultSettings()
	settings.Node, settings.FailureDomain, settings.PeerAddress = "n", "z", "127.0.94.1:1"
	guide := mesh.Node{Name: "guide", FailureDomain: "z", Capacity: 200, Serving: true, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	r := &relay{settings: settings, logger: log.NewNopLogger(), live: func() []*mesh.Node { return []*mesh.Node{&guide} }}
	_, err := r.Changes(context.Background(), platform.ConfigurationKind, 5, 0)
	g.Expect(err).To(MatchError(follow.ErrHistoryGone))
	listing, err := r.List(context.Background(), platform.ConfigurationKind)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listing.Cursor).To(Equal(object.Version(9)))
	g.Expect(listing.Objects).To(HaveLen(1))
}

// Guards against whole copies of a large list that each node takes again and again
// while the store is down.
func TestCatchesUpByChanges(t *testing.T) {
	g := NewWithT(t)
	named := func(name string, version object.Version) object.Object {
		return object.Object{Key: object.Key{Kind: platform.InstanceKind, Name: name}, Version: version}
	}
	source := follow.New(follow.Config{Kind: platform.InstanceKind}, &turnedAway{}, log.NewNopLogger())
	source.Adopt(follow.Snapshot{Cursor: 5, Objects: []object.Object{named("a", 5)}})
	g.Expect(source.Apply(5, follow.Delta{Cursor: 7, Events: []follow.Event{{Object: named("b", 7)}}})).To(BeTrue())
	var asked []string
	handler := (&Documents{configurations: source, instances: source}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.Path)
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	from := &mesh.Node{Name: "from", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	d := &Documents{logger: log.NewNopLogger()}
	behind := follow.New(follow.Config{Kind: platform.InstanceKind}, &turnedAway{}, log.NewNopLogger())
	behind.Adopt(follow.Snapshot{Cursor: 5, Objects: []object.Object{named("a", 5)}})
	d.fetch(context.Background(), from, pathInstances, behind)
	g.Expect(behind.Current.Load().Objects).To(HaveLen(2))
	g.Expect(asked).To(Equal([]string{pathInstances + pathChanges}))
	far := follow.New(follow.Config{Kind: platform.InstanceKind}, &turnedAway{}, log.NewNopLogger())
	far.Adopt(follow.Snapshot{Cursor: 1})
	d.fetch(context.Background(), from, pathInstances, far)
	g.Expect(far.Cursor()).To(Equal(object.Version(7)))
	g.Expect(asked).To(HaveLen(3))
}
