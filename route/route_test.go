package route_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var start = time.Unix(1000, 0)

// world is a board with groups of two members, all healthy.
type world struct {
	board     blackboard.Board
	config    fleet.Configuration
	placement fleet.Placement
	list      fleet.InstanceList
	evidence  map[string]blackboard.Observation
	now       time.Time
	builder   *route.Builder
}

func newWorld(groups int) *world {
	w := &world{now: start, evidence: make(map[string]blackboard.Observation)}
	w.config.Services = []fleet.Service{{Name: "llm", Kind: fleet.KindModel}, {Name: "desk", Kind: fleet.KindPlain, Pool: "desk"}}
	for i := range groups {
		g := fleet.PlacedGroup{Name: fmt.Sprintf("g%d", i), Service: "llm", Generation: fleet.Generation(i + 1), Phase: fleet.PhaseServing}
		for rank := range 2 {
			id := fmt.Sprintf("i%d-%d", i, rank)
			g.Members = append(g.Members, fleet.GroupMember{Instance: id, Address: id + ":1"})
			w.list.Instances = append(w.list.Instances, fleet.Instance{ID: id, State: fleet.InstanceLive})
			w.evidence[id] = blackboard.Observation{ObservedAt: start, Report: fleet.Report{Instance: id, Group: g.Name,
				Generation: g.Generation, Rank: rank, Size: 2, Service: "llm", State: fleet.EngineReady}}
		}
		w.placement.Groups = append(w.placement.Groups, g)
		w.config.Groups = append(w.config.Groups, fleet.Group{Name: g.Name, Service: "llm"})
	}
	for i := range 2 {
		id := fmt.Sprintf("s%d", i)
		w.list.Instances = append(w.list.Instances, fleet.Instance{ID: id, Address: id, Pool: "desk", State: fleet.InstanceLive})
		w.evidence[id] = blackboard.Observation{ObservedAt: start, Report: fleet.Report{Instance: id, State: fleet.EngineReady}}
	}
	w.builder = route.NewBuilder(route.Config{Now: func() time.Time { return w.now }}, &w.board, metrics.NewRegistry())
	return w
}

func (w *world) table() *route.Table {
	w.board.Configuration.Publish(&w.config)
	w.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"d": {Placement: w.placement}}})
	w.board.Instances.Publish(&w.list)
	w.board.Evidence.Publish(&blackboard.Evidence{ByInstance: w.evidence})
	w.builder.Build()
	return w.builder.Table.Load()
}

func (w *world) names(service string) []string {
	names := []string{}
	for _, t := range w.table().Service(service).Fresh(w.now, nil) {
		names = append(names, t.Name)
	}
	return names
}

func (w *world) change(id string, f func(o *blackboard.Observation)) {
	o := w.evidence[id]
	f(&o)
	w.evidence[id] = o
}

var _ = Describe("Builder", func() {
	DescribeTable("leaves out groups that are not whole",
		// Guards against work for a group with a missing, old or leaving member.
		func(spoil func(w *world)) {
			w := newWorld(2)
			Expect(w.names("llm")).To(Equal([]string{"g0", "g1"}))
			spoil(w)
			Expect(w.names("llm")).To(Equal([]string{"g1"}))
		},
		Entry("lost member", func(w *world) { delete(w.evidence, "i0-1") }),
		Entry("old generation", func(w *world) { w.change("i0-1", func(o *blackboard.Observation) { o.Report.Generation = 9 }) }),
		Entry("other rank", func(w *world) { w.change("i0-1", func(o *blackboard.Observation) { o.Report.Rank = 0 }) }),
		Entry("loading", func(w *world) {
			w.change("i0-1", func(o *blackboard.Observation) { o.Report.State = fleet.EngineLoading })
		}),
		Entry("old evidence of one member", func(w *world) {
			w.change("i0-1", func(o *blackboard.Observation) { o.ObservedAt = start.Add(-3 * time.Second) })
		}),
		Entry("leaving member", func(w *world) { w.list.Instances[1].State = fleet.InstanceLeaving }),
		Entry("withdrawn", func(w *world) { w.placement.Groups[0].Phase = fleet.PhaseWithdrawn }),
		Entry("removed from the configuration", func(w *world) { w.config.Groups = w.config.Groups[1:] }),
	)

	It("shows each target's load and own share in a state dump", func() {
		// Guards against a dump that hides what the choice is based on, and
		// against internals in it.
		w := newWorld(1)
		w.table().Service("llm").Targets[0].Tracker.Add(7)
		body, err := json.Marshal(w.table())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(And(ContainSubstring(`"name":"g0"`), ContainSubstring(`"own":7`),
			ContainSubstring(`"load":8`), Not(ContainSubstring("racker"))))
	})

	It("rebuilds on every change while it runs", func() {
		// Guards against routes that stay after a loss was published.
		w := newWorld(1)
		w.table()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- w.builder.Run(ctx) }()
		w.board.Evidence.Publish(&blackboard.Evidence{})
		Eventually(func() []*route.Target {
			return w.builder.Table.Load().Service("llm").Targets
		}, time.Minute).Should(BeEmpty())
		cancel()
		Expect(<-done).To(MatchError(context.Canceled))
	})

	It("compares expiry with the clock when it is read, not when it was built", func() {
		// Guards against a paused builder that keeps dead groups in use.
		w := newWorld(1)
		table := w.table()
		Expect(table.Service("llm").Fresh(start.Add(2499*time.Millisecond), nil)).To(HaveLen(1))
		Expect(table.Service("llm").Fresh(start.Add(2500*time.Millisecond), nil)).To(BeEmpty())
	})

	It("keeps withdrawn groups alive for their streams", func() {
		// Guards against cutting streams of a group that finishes its work.
		w := newWorld(1)
		w.placement.Groups[0].Phase = fleet.PhaseWithdrawn
		Expect(w.table().Alive("g0", 1, start)).To(BeTrue())
		Expect(w.table().Alive("g0", 2, start)).To(BeFalse())
		delete(w.evidence, "i0-1")
		Expect(w.table().Alive("g0", 1, start)).To(BeFalse())
	})

	It("lists plain servers that are live and ready", func() {
		// Guards against new work for a leaving server.
		w := newWorld(0)
		Expect(w.names("desk")).To(Equal([]string{"s0", "s1"}))
		w.list.Instances[0].State = fleet.InstanceLeaving
		Expect(w.names("desk")).To(Equal([]string{"s1"}))
		w.change("s1", func(o *blackboard.Observation) { o.Report.State = fleet.EngineLeaving })
		Expect(w.names("desk")).To(BeEmpty())
	})

	It("adds own tokens since the report and drops those the report covers", func() {
		// Guards against sending a burst to one group while reports lag, and
		// against counting the same tokens twice.
		w := newWorld(1)
		target := w.table().Service("llm").Targets[0]
		target.Tracker.Add(500)
		Expect(target.Own()).To(Equal(500.0))
		w.now = start.Add(time.Second)
		w.table()
		w.now = start.Add(2 * time.Second)
		w.change("i0-0", func(o *blackboard.Observation) { o.ObservedAt = start.Add(1500 * time.Millisecond) })
		Expect(w.table().Service("llm").Targets[0].Own()).To(Equal(0.0))
	})
})

var _ = Describe("Affinity", func() {
	It("keeps a prefix on one group until it is loaded above the bound", func() {
		// Guards against cold prefix caches and against a hot spot.
		w := newWorld(4)
		policy, q := &route.Affinity{}, route.Request{Prefix: route.Prefix("system prompt")}
		targets := w.table().Service("llm").Targets
		home := policy.Choose(targets, q, start)
		for range 20 {
			Expect(policy.Choose(targets, q, start)).To(Equal(home))
		}
		home.Tracker.Add(1_000_000)
		for range 20 {
			Expect(policy.Choose(targets, q, start)).NotTo(Equal(home))
		}
	})

	It("counts output space in use as load", func() {
		// Guards against a group that looks idle while its space is full.
		w := newWorld(2)
		w.change("i0-0", func(o *blackboard.Observation) { o.Report.FreeKVTokens = 100_000 })
		targets := w.table().Service("llm").Targets
		Expect(targets[0].Load()).To(BeNumerically("<", targets[1].Load()))
	})

	It("keeps the turns of a conversation together and conversations apart", func() {
		// Guards against sending every conversation of one system prompt to the
		// same group, and against moving a conversation with each turn.
		system := strings.Repeat("s", 900)
		turn := system + strings.Repeat("a", 200)
		Expect(route.Prefix(turn + strings.Repeat("b", 2900))).To(Equal(route.Prefix(turn)))
		other := system + strings.Repeat("c", 200)
		Expect(route.Prefix(other)).NotTo(Equal(route.Prefix(turn)))
	})

	It("takes the second preferred group while the first is overloaded", func() {
		// Guards against cold caches for all turns of a conversation whose group
		// is overloaded.
		w := newWorld(8)
		policy, q := &route.Affinity{}, route.Request{Prefix: route.Prefix("system prompt")}
		targets := w.table().Service("llm").Targets
		policy.Choose(targets, q, start).Tracker.Add(1_000_000)
		second := policy.Choose(targets, q, start)
		for range 20 {
			Expect(policy.Choose(targets, q, start)).To(Equal(second))
		}
	})

	It("counts small differences in the first-token time as equal", func() {
		// Guards against double counting of queues as slowness.
		w := newWorld(3)
		for i, t := range w.table().Service("llm").Targets {
			t.Tracker.FirstToken(time.Duration(1+i) * 500 * time.Millisecond)
		}
		targets := w.table().Service("llm").Targets
		Expect(targets[2].Load()).To(Equal(targets[0].Load()))
	})

	It("prefers normal groups to a straggler", func() {
		// Guards against even shares for a group that answers slowly.
		w := newWorld(3)
		for i, t := range w.table().Service("llm").Targets {
			t.Tracker.FirstToken(time.Duration(1+9*(i/2)) * time.Second)
		}
		targets := w.table().Service("llm").Targets
		Expect(targets[2].Load()).To(BeNumerically(">", 5*targets[0].Load()))
	})
})
