package entry

import (
	"context"
	"encoding/json"
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
	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

// fakeStore is a store that fails watches while down is set and leaves them without a
// response while hanging is set.
type fakeStore struct{ down, hanging atomic.Bool }

func (s *fakeStore) List(context.Context, string) (object.Listing, error) {
	return object.Listing{Cursor: 5, Changed: true}, nil
}

func (s *fakeStore) Changes(ctx context.Context, _ string, cursor object.Version, wait time.Duration) (follow.Delta, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) || s.hanging.Load(); time.Sleep(10 * time.Millisecond) {
		if s.down.Load() || ctx.Err() != nil {
			return follow.Delta{}, object.ErrUnavailable
		}
	}
	return follow.Delta{Cursor: cursor}, nil
}

// Guards against a revoked key that stays in force because the node whose copy is
// followed has lost the store, which either refuses its calls or doesn't respond to them
// (hunt-ccd7-31).
func TestChangesFailOnceStoreIsLost(t *testing.T) {
	for name, fail := range map[string]func(*fakeStore){
		"reset":  func(s *fakeStore) { s.down.Store(true) },
		"silent": func(s *fakeStore) { s.hanging.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &fakeStore{}
			f := follow.New(follow.Config{Kind: platform.ConfigurationKind, Wait: watchWait}, store, log.NewNopLogger())
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { _ = f.Run(ctx); close(done) }()
			defer func() { cancel(); <-done }()
			d := &Documents{configurations: f, instances: f}
			server := httptest.NewServer(d.Handler())
			defer server.Close()
			parent := &mesh.Node{Name: "parent", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
			r := &relay{}
			time.Sleep(100 * time.Millisecond)
			delta, err := r.changesFrom(ctx, parent, platform.ConfigurationKind, 5, 50*time.Millisecond)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(delta.Events).To(BeEmpty())
			fail(store)
			failed := time.Now()
			g.Eventually(func() error {
				_, err := r.changesFrom(ctx, parent, platform.ConfigurationKind, 5, watchWait)
				return err
			}, 5*time.Second, time.Millisecond).ShouldNot(Succeed())
			// The change has to be fetched and applied within two seconds.
			g.Expect(time.Since(failed)).To(BeNumerically("<", 1600*time.Millisecond))
		})
	}
}

// Guards against a number of calls to the store that grows with the number of nodes,
// and against one node that all others follow.
func TestParents(t *testing.T) {
	g := NewWithT(t)
	var nodes []*mesh.Node
	for i := range 88 {
		nodes = append(nodes, &mesh.Node{Name: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("z", i%3), Capacity: 19, Serving: true})
	}
	withoutParent := 0
	followers := map[string]int{}
	for _, n := range nodes {
		parents := parentsOf(*n, nodes)
		if len(parents) == 0 {
			withoutParent++
			continue
		}
		followers[parents[0].Name]++
		g.Expect(parents).NotTo(ContainElement(HaveField("Name", n.Name)))
	}
	g.Expect(withoutParent).To(Equal(1))
	g.Expect(followers).To(HaveLen(3))
	for _, n := range followers {
		g.Expect(n).To(BeNumerically("<=", 31))
	}
}

// Guards against all nodes calling the store at once while it is down, and against nodes
// that wait for parents that can't reach the store.
func TestCallsStoreAfterParents(t *testing.T) {
	g := NewWithT(t)
	r := &relay{logger: log.NewNopLogger()}
	now := time.Now()
	var parents []*mesh.Node
	for i := range 5 {
		parents = append(parents, &mesh.Node{Name: fmt.Sprint("n", i)})
	}
	usable, mayCallStore := r.usableParents(parents, now)
	g.Expect(usable).To(HaveLen(maxParents))
	g.Expect(mayCallStore).To(BeFalse())
	for _, parent := range parents[:4] {
		r.markFailed(parent, object.ErrUnavailable, now)
	}
	usable, mayCallStore = r.usableParents(parents, now)
	g.Expect(usable).To(HaveLen(1))
	g.Expect(mayCallStore).To(BeTrue())
	g.Expect(r.storeBackoffOver(now)).To(BeTrue())
	r.backOffStore(len(parents), now)
	g.Expect(r.storeBackoffOver(now.Add(400 * time.Millisecond))).To(BeFalse())
	g.Expect(r.storeBackoffOver(now.Add(500 * time.Millisecond))).To(BeTrue())
	usable, _ = r.usableParents(parents, now.Add(parentRetryDelay))
	g.Expect(usable[0].Name).To(Equal("n0"))
}

// Guards against all nodes listing from the store again, and waiting for each other,
// when the node that watches the store lost the change history (seen in scale-2 of
// maracas-hq-grown).
func TestListsFromParentWhenHistoryIsGone(t *testing.T) {
	g := NewWithT(t)
	f := follow.New(follow.Config{Kind: platform.ConfigurationKind, Wait: watchWait}, &fakeStore{}, log.NewNopLogger())
	f.Replace(follow.Snapshot{Cursor: 9, Objects: []object.Object{{Key: object.Key{Kind: platform.ConfigurationKind, Name: "main"}, Version: 9}}})
	server := httptest.NewServer((&Documents{configurations: f, instances: f}).Handler())
	defer server.Close()
	settings := DefaultSettings()
	settings.Node, settings.FailureDomain, settings.PeerAddress = "n", "z", "127.0.94.1:1"
	parent := mesh.Node{Name: "parent", FailureDomain: "z", Capacity: 200, Serving: true, PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	r := &relay{settings: settings, logger: log.NewNopLogger(), liveNodes: func() []*mesh.Node { return []*mesh.Node{&parent} }}
	_, err := r.Changes(context.Background(), platform.ConfigurationKind, 5, 0)
	g.Expect(err).To(MatchError(follow.ErrHistoryGone))
	listing, err := r.List(context.Background(), platform.ConfigurationKind)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listing.Cursor).To(Equal(object.Version(9)))
	g.Expect(listing.Objects).To(HaveLen(1))
}

// Guards against each node fetching the whole of a large list again and again while the
// store is down, instead of the changes only.
func TestFetchPrefersChanges(t *testing.T) {
	g := NewWithT(t)
	named := func(name string, version object.Version) object.Object {
		return object.Object{Key: object.Key{Kind: platform.InstanceKind, Name: name}, Version: version}
	}
	source := follow.New(follow.Config{Kind: platform.InstanceKind}, &fakeStore{}, log.NewNopLogger())
	source.Replace(follow.Snapshot{Cursor: 5, Objects: []object.Object{named("a", 5)}})
	g.Expect(source.Apply(5, follow.Delta{Cursor: 7, Events: []follow.Event{{Object: named("b", 7)}}})).To(BeTrue())
	var requested []string
	handler := (&Documents{configurations: source, instances: source}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested = append(requested, r.URL.Path)
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	from := &mesh.Node{Name: "from", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	d := &Documents{logger: log.NewNopLogger()}
	behind := follow.New(follow.Config{Kind: platform.InstanceKind}, &fakeStore{}, log.NewNopLogger())
	behind.Replace(follow.Snapshot{Cursor: 5, Objects: []object.Object{named("a", 5)}})
	d.fetch(context.Background(), from, pathInstances, behind)
	g.Expect(behind.Current.Load().Objects).To(HaveLen(2))
	g.Expect(requested).To(Equal([]string{pathInstances + pathChanges}))
	far := follow.New(follow.Config{Kind: platform.InstanceKind}, &fakeStore{}, log.NewNopLogger())
	far.Replace(follow.Snapshot{Cursor: 1})
	d.fetch(context.Background(), from, pathInstances, far)
	g.Expect(far.Cursor()).To(Equal(object.Version(7)))
	g.Expect(requested).To(HaveLen(3))
}

// TestFetchesChangesThatParentsDontHave guards against a configuration that is not in force
// in time because the nodes whose copies are followed are behind (CONFIG).
func TestFetchesChangesThatParentsDontHave(t *testing.T) {
	g := NewWithT(t)
	at := func(version object.Version) follow.Snapshot {
		return follow.Snapshot{Cursor: version, Objects: []object.Object{{Key: object.Key{Kind: platform.InstanceKind, Name: "e"}, Version: version}}}
	}
	other := follow.New(follow.Config{Kind: platform.InstanceKind}, &fakeStore{}, log.NewNopLogger())
	other.Replace(at(5))
	g.Expect(other.Apply(5, follow.Delta{Cursor: 9, Events: []follow.Event{{Object: at(9).Objects[0]}}})).To(BeTrue())
	server := httptest.NewServer((&Documents{configurations: other, instances: other}).Handler())
	defer server.Close()
	// The parent responds to each call, but has no changes.
	f := follow.New(follow.Config{Kind: platform.InstanceKind, Wait: watchWait}, &fakeStore{}, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = f.Run(ctx); done <- struct{}{} }()
	node := &mesh.Node{Name: "other", PeerAddress: strings.TrimPrefix(server.URL, "http://"), ListCursor: 9}
	d := &Documents{configurations: f, instances: f, platformState: &PlatformState{}, logger: log.NewNopLogger(),
		view: func() *mesh.View { return &mesh.View{Live: []*mesh.Node{node}} }}
	go func() { _ = d.Run(ctx); done <- struct{}{} }()
	defer func() { cancel(); <-done; <-done }()
	g.Eventually(f.Cursor, 2*time.Second).Should(Equal(object.Version(9)))
}

// Guards against a node that starts while a restored store shows an older configuration,
// and doesn't learn from the others which one is in force (CONFIG).
func TestLearnsTheConfigurationInForceFromOthers(t *testing.T) {
	g := NewWithT(t)
	encode := func(version int) []byte {
		data, err := json.Marshal(platformtest.Configuration(version, "k1"))
		g.Expect(err).NotTo(HaveOccurred())
		return data
	}
	newState := func(version int) *PlatformState {
		ps := &PlatformState{logger: log.NewNopLogger(), adopted: make(chan struct{}, 1)}
		ps.apply(encode(version), "store", 1)
		return ps
	}
	other := newState(7)
	server := httptest.NewServer((&Documents{platformState: other}).Handler())
	defer server.Close()
	node := &mesh.Node{Name: "other", PeerAddress: strings.TrimPrefix(server.URL, "http://"), ConfigurationVersion: 7}
	ps := newState(4)
	d := &Documents{platformState: ps, logger: log.NewNopLogger()}
	d.fetchConfiguration(context.Background(), node, 4)
	g.Expect(ps.Configuration.Load().Version).To(BeEquivalentTo(7))
	ps.apply(encode(5), "store", 9)
	g.Expect(ps.Configuration.Load().Version).To(BeEquivalentTo(7))
	ps.Adopt([]byte(`{"version": 9, "routes": 3}`), "other")
	g.Expect(ps.Configuration.Load().Version).To(BeEquivalentTo(7), "an invalid configuration")
	third := newState(6)
	d = &Documents{platformState: third, logger: log.NewNopLogger()}
	server2 := httptest.NewServer((&Documents{platformState: ps}).Handler())
	defer server2.Close()
	d.fetchConfiguration(context.Background(), &mesh.Node{Name: "second", PeerAddress: strings.TrimPrefix(server2.URL, "http://")}, 6)
	g.Expect(third.Configuration.Load().Version).To(BeEquivalentTo(7), "passed on by a node that learnt it")
}
