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

// fixture is a blackboard with groups of two members and two plain servers, all
// ready, and the builder that reads it.
type fixture struct {
	board     blackboard.Board
	config    fleet.Configuration
	placement fleet.Placement
	list      fleet.InstanceList
	evidence  map[string]blackboard.Observation
	now       time.Time
	builder   *route.Builder
}

func newFixture(groups int) *fixture {
	f := &fixture{now: start, evidence: make(map[string]blackboard.Observation)}
	f.config.Services = []fleet.Service{{Name: "llm", Kind: fleet.KindModel}, {Name: "desk", Kind: fleet.KindPlain, Pool: "desk"}}
	for i := range groups {
		g := fleet.PlacedGroup{Name: fmt.Sprintf("g%d", i), Service: "llm", Generation: fleet.Generation(i + 1), Phase: fleet.PhaseServing}
		for rank := range 2 {
			id := fmt.Sprintf("i%d-%d", i, rank)
			g.Members = append(g.Members, fleet.GroupMember{Instance: id, Address: id + ":1"})
			f.list.Instances = append(f.list.Instances, fleet.Instance{ID: id, State: fleet.InstanceLive})
			f.evidence[id] = blackboard.Observation{ObservedAt: start, Report: fleet.Report{Instance: id, Group: g.Name,
				Generation: g.Generation, Rank: rank, Size: 2, Service: "llm", State: fleet.EngineReady}}
		}
		f.placement.Groups = append(f.placement.Groups, g)
		f.config.Groups = append(f.config.Groups, fleet.Group{Name: g.Name, Service: "llm"})
	}
	for i := range 2 {
		id := fmt.Sprintf("s%d", i)
		f.list.Instances = append(f.list.Instances, fleet.Instance{ID: id, Address: id, Pool: "desk", State: fleet.InstanceLive})
		f.evidence[id] = blackboard.Observation{ObservedAt: start, Report: fleet.Report{Instance: id, State: fleet.EngineReady}}
	}
	f.builder = route.NewBuilder(route.Config{Now: func() time.Time { return f.now }}, &f.board, metrics.NewRegistry())
	return f
}

// table publishes the fixture's sections, rebuilds the table and returns it.
func (f *fixture) table() *route.Table {
	f.board.Configuration.Publish(&f.config)
	f.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"d": {Placement: f.placement}}})
	f.board.Instances.Publish(&f.list)
	f.board.Evidence.Publish(&blackboard.Evidence{ByInstance: f.evidence})
	f.builder.Build()
	return f.builder.Table.Load()
}

// targetNames rebuilds the table and returns the names of the fresh targets.
func (f *fixture) targetNames(service string) []string {
	names := []string{}
	for _, t := range f.table().Service(service).Fresh(f.now, nil) {
		names = append(names, t.Name)
	}
	return names
}

// changeObservation modifies the observation of one instance.
func (f *fixture) changeObservation(id string, modify func(o *blackboard.Observation)) {
	o := f.evidence[id]
	modify(&o)
	f.evidence[id] = o
}

var _ = Describe("Builder", func() {
	DescribeTable("leaves out incomplete groups",
		// Guards against new work for a group with a lost, outdated or leaving
		// member.
		func(spoil func(f *fixture)) {
			f := newFixture(2)
			Expect(f.targetNames("llm")).To(Equal([]string{"g0", "g1"}))
			spoil(f)
			Expect(f.targetNames("llm")).To(Equal([]string{"g1"}))
		},
		Entry("lost member", func(f *fixture) { delete(f.evidence, "i0-1") }),
		Entry("old generation", func(f *fixture) {
			f.changeObservation("i0-1", func(o *blackboard.Observation) { o.Report.Generation = 9 })
		}),
		Entry("other rank", func(f *fixture) { f.changeObservation("i0-1", func(o *blackboard.Observation) { o.Report.Rank = 0 }) }),
		Entry("loading", func(f *fixture) {
			f.changeObservation("i0-1", func(o *blackboard.Observation) { o.Report.State = fleet.EngineLoading })
		}),
		Entry("old evidence of one member", func(f *fixture) {
			f.changeObservation("i0-1", func(o *blackboard.Observation) { o.ObservedAt = start.Add(-3 * time.Second) })
		}),
		Entry("leaving member", func(f *fixture) { f.list.Instances[1].State = fleet.InstanceLeaving }),
		Entry("withdrawn", func(f *fixture) { f.placement.Groups[0].Phase = fleet.PhaseWithdrawn }),
		Entry("removed from the configuration", func(f *fixture) { f.config.Groups = f.config.Groups[1:] }),
	)

	It("includes each target's load and the work sent by this node in a state dump", func() {
		// Guards against a state dump that lacks the values on which the choice
		// is based, or contains internal ones.
		f := newFixture(1)
		f.table().Service("llm").Targets[0].Tracker.Add(7)
		body, err := json.Marshal(f.table())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(And(ContainSubstring(`"name":"g0"`), ContainSubstring(`"own":7`),
			ContainSubstring(`"load":8`), Not(ContainSubstring("racker"))))
	})

	It("rebuilds on every change while it runs", func() {
		// Guards against targets that stay in the table after the loss of a
		// member was published.
		f := newFixture(1)
		f.table()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- f.builder.Run(ctx) }()
		f.board.Evidence.Publish(&blackboard.Evidence{})
		Eventually(func() []*route.Target {
			return f.builder.Table.Load().Service("llm").Targets
		}, time.Minute).Should(BeEmpty())
		cancel()
		Expect(<-done).To(MatchError(context.Canceled))
	})

	It("compares expiry with the clock when the table is read, not when it was built", func() {
		// Guards against groups that stay in use after their evidence expired
		// because the builder is paused.
		f := newFixture(1)
		table := f.table()
		Expect(table.Service("llm").Fresh(start.Add(2499*time.Millisecond), nil)).To(HaveLen(1))
		Expect(table.Service("llm").Fresh(start.Add(2500*time.Millisecond), nil)).To(BeEmpty())
	})

	It("reports withdrawn groups as alive, for their streams", func() {
		// Guards against aborting streams of a withdrawn group that still
		// finishes its requests.
		f := newFixture(1)
		f.placement.Groups[0].Phase = fleet.PhaseWithdrawn
		Expect(f.table().Alive("g0", 1, start)).To(BeTrue())
		Expect(f.table().Alive("g0", 2, start)).To(BeFalse())
		f.config = fleet.Configuration{}
		Expect(f.table().Alive("g0", 1, start)).To(BeTrue(), "its service was withdrawn, too")
		delete(f.evidence, "i0-1")
		Expect(f.table().Alive("g0", 1, start)).To(BeFalse())
	})

	It("lists plain servers that are live and ready", func() {
		// Guards against new work for a leaving server.
		f := newFixture(0)
		Expect(f.targetNames("desk")).To(Equal([]string{"s0", "s1"}))
		f.list.Instances[0].State = fleet.InstanceLeaving
		Expect(f.targetNames("desk")).To(Equal([]string{"s1"}))
		f.changeObservation("s1", func(o *blackboard.Observation) { o.Report.State = fleet.EngineLeaving })
		Expect(f.targetNames("desk")).To(BeEmpty())
	})

	It("counts the tokens sent since the report and not those that the report includes", func() {
		// Guards against sending a burst of requests to one group while reports
		// lag, and against counting the same tokens twice.
		f := newFixture(1)
		target := f.table().Service("llm").Targets[0]
		target.Tracker.Add(500)
		Expect(target.SentSinceReport()).To(Equal(500.0))
		f.now = start.Add(time.Second)
		f.table()
		f.now = start.Add(2 * time.Second)
		f.changeObservation("i0-0", func(o *blackboard.Observation) { o.ObservedAt = start.Add(1500 * time.Millisecond) })
		Expect(f.table().Service("llm").Targets[0].SentSinceReport()).To(Equal(0.0))
	})
})

var _ = Describe("Affinity", func() {
	It("keeps a prefix on one group until the group's load exceeds the bound", func() {
		// Guards against cold prefix caches and against overloading one group.
		f := newFixture(4)
		policy, q := &route.Affinity{}, route.Request{Prefix: route.Prefix("system prompt")}
		targets := f.table().Service("llm").Targets
		home := policy.Choose(targets, q, start)
		for range 20 {
			Expect(policy.Choose(targets, q, start)).To(Equal(home))
		}
		home.Tracker.Add(1_000_000)
		for range 20 {
			Expect(policy.Choose(targets, q, start)).NotTo(Equal(home))
		}
	})

	It("counts the KV cache in use as load", func() {
		// Guards against a group that looks idle while its KV cache is full.
		f := newFixture(2)
		f.changeObservation("i0-0", func(o *blackboard.Observation) { o.Report.FreeKVTokens = 100_000 })
		targets := f.table().Service("llm").Targets
		Expect(targets[0].Load()).To(BeNumerically("<", targets[1].Load()))
	})

	It("hashes all turns of a conversation to one value and other conversations to others", func() {
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
		f := newFixture(8)
		policy, q := &route.Affinity{}, route.Request{Prefix: route.Prefix("system prompt")}
		targets := f.table().Service("llm").Targets
		policy.Choose(targets, q, start).Tracker.Add(1_000_000)
		second := policy.Choose(targets, q, start)
		for range 20 {
			Expect(policy.Choose(targets, q, start)).To(Equal(second))
		}
	})

	It("ignores small differences in the time to first token", func() {
		// Guards against counting queues, which the load includes, as slowness
		// too.
		f := newFixture(3)
		for i, t := range f.table().Service("llm").Targets {
			t.Tracker.FirstToken(time.Duration(1+i) * 500 * time.Millisecond)
		}
		targets := f.table().Service("llm").Targets
		Expect(targets[2].Load()).To(Equal(targets[0].Load()))
	})

	It("prefers normal groups to a straggler", func() {
		// Guards against sending as much work to a slow group as to the others.
		f := newFixture(3)
		for i, t := range f.table().Service("llm").Targets {
			t.Tracker.FirstToken(time.Duration(1+9*(i/2)) * time.Second)
		}
		targets := f.table().Service("llm").Targets
		Expect(targets[2].Load()).To(BeNumerically(">", 5*targets[0].Load()))
	})
})
