package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/evacuation"
	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/throttle"
	"github.com/rattanlanding/rattanlanding/upstream"
)

// evacuationObject returns an object of the store with the given name, version and spec.
func evacuationObject(name string, version object.Version, spec string) object.Object {
	return object.Object{Key: object.Key{Kind: platform.EvacuationKind, Name: name}, Version: version, Value: []byte(spec)}
}

func newTestEvacuations(lines *bytes.Buffer) *evacuationState {
	logger := log.NewLogfmtLogger(lines)
	return newEvacuationState(follow.New(follow.Config{Kind: platform.EvacuationKind}, nil, log.NewNopLogger()),
		evacuation.NewLedger(5*time.Second, log.NewNopLogger(), metrics.NewRegistry()), logger)
}

// Guards against an odd entry of another writer that ends other evacuations, or fills the log.
func TestOddEvacuationsCostOnlyThemselvesAndOneLogLine(t *testing.T) {
	g := NewWithT(t)
	lines := &bytes.Buffer{}
	s := newTestEvacuations(lines)
	for i := range object.Version(50) {
		s.follower.Replace(follow.Snapshot{Cursor: 10 + i, Objects: []object.Object{
			evacuationObject("a", 1, `{}`), evacuationObject("later", 2, `{"until":"noon"}`), evacuationObject("text", 3, `"now"`),
			evacuationObject("null", 3, `null`), evacuationObject("line\nbreak", 3, `{}`), evacuationObject("deep", 3, strings.Repeat("[", 20_000)),
		}})
		result, known, _ := s.update(time.Now())
		g.Expect(known).To(BeTrue())
		g.Expect(result).To(Equal(engine.Evacuations{"a": engine.EvacuationInForce, "later": engine.EvacuationInForce}))
	}
	g.Expect(strings.Count(lines.String(), "\n")).To(Equal(4))
	g.Expect(lines.Len()).To(BeNumerically("<", 2000))
}

// Guards against nodes that tell a version for nothing, in deployments without evacuations.
func TestEvacuationCursorIsToldOnlyAfterAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	var none *evacuationState
	g.Expect(none.cursor()).To(BeZero())
	s := newTestEvacuations(&bytes.Buffer{})
	g.Expect(s.cursor()).To(BeZero())
	s.follower.Replace(follow.Snapshot{Cursor: 5})
	s.update(time.Now())
	g.Expect(s.cursor()).To(BeZero())
	s.follower.Replace(follow.Snapshot{Cursor: 6, Objects: []object.Object{evacuationObject("a", 6, `{}`)}})
	s.update(time.Now())
	g.Expect(s.cursor()).To(Equal(object.Version(6)))
	s.follower.Replace(follow.Snapshot{Cursor: 7})
	s.update(time.Now())
	g.Expect(s.cursor()).To(Equal(object.Version(7)), "others have to learn that it was taken back")
}

// newColdPlatformState returns a state with a service whose instances may be cold, and the
// limits for them.
func newColdPlatformState() (*PlatformState, *throttle.Registry) {
	logger := log.NewNopLogger()
	limits := throttle.NewRegistry(throttle.Config{ColdOverage: 1.5, ColdAllowance: 5}, logger, metrics.NewRegistry())
	ps := &PlatformState{configurations: follow.New(follow.Config{}, nil, logger), instances: follow.New(follow.Config{}, nil, logger), tables: forward.NewTables(),
		pool: upstream.NewPool(upstream.Config{}), throttle: limits, logger: logger, history: engine.NewHistory(), adopted: make(chan struct{}, 1),
		limitsCold: true, evacuations: newTestEvacuations(&bytes.Buffer{})}
	ps.Configuration.Publish((&catalog.Configuration{Services: []catalog.Service{{Name: "desk", ColdTime: 3 * time.Second, ColdRate: 26}}}).Index())
	return ps, limits
}

// Guards against a node that takes requests before it knows which domains are evacuated, and
// against cold servers that are flooded when their domain returns.
func TestPlatformStateAppliesEvacuations(t *testing.T) {
	g := NewWithT(t)
	ps, limits := newColdPlatformState()
	tables := ps.tables
	entry := func(name, zone string, coldMs string) object.Object {
		return object.Object{Key: object.Key{Kind: platform.InstanceKind, Name: name}, Version: 1, Value: []byte(`{"service":"desk","address":"10.0.0.1:1","zone":"` + zone +
			`","state":"ready","version":"v1","slots":6,"sequence":1,"born":4,"coldRemainingMs":` + coldMs + `}`)}
	}
	ps.instances.Replace(follow.Snapshot{Cursor: 9, Objects: []object.Object{entry("in-a", "a", "0"), entry("in-b", "b", "0"), entry("cold", "b", "60000")}})
	ps.update()
	g.Expect(ps.Roster.Load()).To(BeNil(), "without a copy of the evacuations")

	show := func(cursor object.Version, domains ...string) {
		s := follow.Snapshot{Cursor: cursor}
		for _, d := range domains {
			s.Objects = append(s.Objects, evacuationObject(d, cursor, `{}`))
		}
		ps.evacuations.follower.Replace(s)
		ps.update()
	}
	isCold := func(id string) bool {
		_, limited := limits.Rate(throttle.ServerOf(id, 4))
		return limited
	}
	show(10, "a")
	g.Expect(tables.Load().Target("in-a")).To(BeNil())
	g.Expect(tables.Load().Target("in-b")).NotTo(BeNil())
	g.Expect(isCold("in-b")).To(BeFalse())
	g.Expect(isCold("cold")).To(BeTrue())
	show(11)
	g.Expect(tables.Load().Target("in-a")).NotTo(BeNil())
	g.Expect(isCold("in-a")).To(BeTrue(), "its entry may be older than its coldness")
	g.Expect(isCold("in-b")).To(BeFalse())
}

// Guards against a cold server that gets requests without a limit because an older entry of it,
// in which it wasn't cold, is listed again.
func TestOlderEntriesDoNotWarmAServer(t *testing.T) {
	g := NewWithT(t)
	ps, limits := newColdPlatformState()
	ps.evacuations.follower.Replace(follow.Snapshot{Cursor: 1})
	list := func(version object.Version, sequence, coldMs int) {
		ps.instances.Replace(follow.Snapshot{Cursor: version, Objects: []object.Object{{Key: object.Key{Kind: platform.InstanceKind, Name: "in"}, Version: version,
			Value: fmt.Appendf(nil, `{"service":"desk","address":"10.0.0.1:1","zone":"a","state":"ready","version":"v1","slots":6,"sequence":%d,"born":4,"coldRemainingMs":%d}`, sequence, coldMs)}}})
		ps.update()
	}
	isCold := func() bool {
		_, limited := limits.Rate(throttle.ServerOf("in", 4))
		return limited
	}
	list(1, 5, 0)
	g.Expect(isCold()).To(BeFalse())
	list(2, 6, 60_000)
	g.Expect(isCold()).To(BeTrue())
	list(3, 5, 0)
	g.Expect(isCold()).To(BeTrue(), "an older entry")
	list(4, 7, 0)
	g.Expect(isCold()).To(BeFalse())
}

// Guards against a node that never learns an evacuation because the store turns it away, or
// that its parent died (EVAC), and against one that fetches without end.
func TestNodeWithoutStoreLearnsEvacuations(t *testing.T) {
	g := NewWithT(t)
	source := follow.New(follow.Config{Kind: platform.EvacuationKind}, nil, log.NewNopLogger())
	server := httptest.NewServer((&Documents{configurations: source, instances: source, evacuations: source}).Handler())
	defer server.Close()
	other := &mesh.Node{Name: "other", PeerAddress: strings.TrimPrefix(server.URL, "http://"), Serving: true}
	own := follow.New(follow.Config{Kind: platform.EvacuationKind}, nil, log.NewNopLogger())
	d := &Documents{configurations: own, instances: own, evacuations: own, logger: log.NewNopLogger(), platformState: &PlatformState{},
		view: func() *mesh.View { return &mesh.View{Live: []*mesh.Node{other}} }}
	catchUp := func() { d.catchUpEvacuations(context.Background(), d.view(), time.Now()) }

	source.Replace(follow.Snapshot{Cursor: 5})
	catchUp()
	g.Expect(own.Current.Load()).To(HaveField("Cursor", object.Version(5)), "a copy without any evacuations, at the start")
	source.Apply(5, follow.Delta{Cursor: 8, Events: []follow.Event{{Object: evacuationObject("a", 8, `{}`)}}})
	other.EvacuationCursor = 8
	catchUp()
	g.Expect(own.Current.Load().Objects).To(HaveLen(1))
	source.Apply(8, follow.Delta{Cursor: 12, Events: []follow.Event{{Object: evacuationObject("a", 8, `{}`), Deleted: true}}})
	other.EvacuationCursor = 12
	catchUp()
	g.Expect(own.Current.Load().Objects).To(BeEmpty())
	g.Expect(own.Cursor()).To(Equal(object.Version(12)))
}
