package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var now = time.Now()

// inputBuilder builds an input with groups of two members in fabric domain f.
type inputBuilder struct{ placement.Input }

func newInput() *inputBuilder {
	b := &inputBuilder{placement.Input{FabricDomain: "f", LoadsAllowed: 8, Now: now,
		Services:  map[string]fleet.Service{},
		Instances: map[string]placement.InstanceView{},
		GroupAge:  map[fleet.Generation]time.Duration{},
		Current:   fleet.Placement{FabricDomain: "f", NextGeneration: 1}}}
	return b.service("high", 2).service("low", 1)
}

func (b *inputBuilder) service(name string, priority int) *inputBuilder {
	b.Services[name] = fleet.Service{Name: name, Kind: fleet.KindModel, Pool: "p", Version: "1", Priority: priority}
	return b
}

// group adds a configured group. If it has members, it is placed and serving.
func (b *inputBuilder) group(name, service string, ids ...string) *inputBuilder {
	b.Groups = append(b.Groups, fleet.Group{Name: name, Service: service, Size: 2, FabricDomain: "f"})
	if len(ids) == 0 {
		return b
	}
	g := fleet.PlacedGroup{Name: name, Service: service, Version: "1", Phase: fleet.PhaseServing, Generation: b.Current.NextGeneration}
	b.Current.NextGeneration++
	for rank, id := range ids {
		g.Members = append(g.Members, fleet.GroupMember{Instance: id, Address: id})
		b.view(id, func(v *placement.InstanceView) {
			v.Report = fleet.Report{Instance: id, Group: name, Generation: g.Generation, Rank: rank, Size: 2,
				Service: service, Version: "1", State: fleet.EngineReady, LoadedVersions: []string{service + "/1"}}
			v.UnplacedAt, v.IdleAfter = time.Time{}, now
		})
	}
	b.Current.Groups = append(b.Current.Groups, g)
	b.GroupAge[g.Generation] = time.Hour
	return b
}

// free adds idle instances.
func (b *inputBuilder) free(ids ...string) *inputBuilder {
	for _, id := range ids {
		b.view(id, nil)
	}
	return b
}

// view modifies an instance. A new one is added as idle first.
func (b *inputBuilder) view(id string, change func(*placement.InstanceView)) *inputBuilder {
	v, known := b.Instances[id]
	if !known {
		v = placement.InstanceView{Listed: true, Fresh: true, ObservedAt: now,
			UnplacedAt: now.Add(-time.Minute), IdleAfter: now.Add(-time.Minute),
			Entry:  fleet.Instance{ID: id, Address: id, Pool: "p", FabricDomain: "f", State: fleet.InstanceLive},
			Report: fleet.Report{Instance: id, State: fleet.EngineIdle}}
	}
	if change != nil {
		change(&v)
	}
	b.Instances[id] = v
	return b
}

func lostFor(d time.Duration) func(*placement.InstanceView) {
	return func(v *placement.InstanceView) { v.Fresh, v.LostFor = false, d }
}

func leaving(v *placement.InstanceView)  { v.Entry.State = fleet.InstanceLeaving }
func unlisted(v *placement.InstanceView) { v.Listed = false }

// describeGroups returns each group as "name:phase member member".
func describeGroups(p *fleet.Placement) []string {
	shown := []string{}
	for _, g := range p.Groups {
		text := g.Name + ":" + string(g.Phase)
		for _, m := range g.Members {
			text += " " + m.Instance
		}
		shown = append(shown, text)
	}
	return shown
}

func balanced(weight float64) placement.Policy { return placement.Balanced{DowntimeWeight: weight} }

// Each entry guards against the failure that its title rules out.
var _ = DescribeTable("Plan", func(policy placement.Policy, s *inputBuilder, want ...string) {
	result, err := placement.Plan(&s.Input, policy)
	Expect(err).NotTo(HaveOccurred())
	Expect(describeGroups(&result.Next)).To(Equal(want))
	for _, g := range result.Next.Groups {
		before := s.Current.Group(g.Name)
		if before == nil || fmt.Sprint(before.Members) != fmt.Sprint(g.Members) {
			Expect(g.Generation).To(BeNumerically(">=", s.Current.NextGeneration))
		}
	}
	again, err := placement.Plan(&s.Input, policy)
	Expect(err).NotTo(HaveOccurred())
	Expect(describeGroups(&again.Next)).To(Equal(want), "the plan is not a pure function of its input")
},
	Entry("forms the higher-priority group first", balanced(0.5),
		newInput().group("l", "low").group("h", "high").free("a", "b", "c"), "h:forming a b"),
	Entry("prefers instances with the weights loaded", balanced(0.5),
		newInput().group("h", "high").free("a", "b", "c").view("c", func(v *placement.InstanceView) {
			v.Report.LoadedVersions = []string{"high/1"}
		}), "h:forming c a"),
	Entry("uses no instance before it has reported idle after its release", balanced(1),
		newInput().group("h", "high").free("a", "b").view("b", func(v *placement.InstanceView) { v.IdleAfter = now })),
	Entry("starts no weight load beyond the allowance", balanced(1),
		func() *inputBuilder { s := newInput().group("h", "high").free("a", "b"); s.LoadsAllowed = 0; return s }()),
	Entry("does not replace a member that is only missing from the instance list", balanced(1),
		newInput().group("h", "high", "a", "b").free("c").view("a", unlisted), "h:serving a b"),
	Entry("does not replace before the repair delay", placement.Replace{},
		newInput().group("h", "high", "a", "b").free("c").view("a", lostFor(9*time.Second)), "h:serving a b"),
	Entry("replaces after the repair delay and keeps the other rank", placement.Replace{},
		newInput().group("h", "high", "a", "b").free("c").view("a", lostFor(11*time.Second)), "h:forming c b"),
	Entry("does not replace a lost member with the wait policy", placement.Wait{},
		newInput().group("h", "high", "a", "b").free("c").view("a", lostFor(time.Hour)), "h:serving a b"),
	Entry("replaces after half the repair delay at a high downtime weight", balanced(1),
		newInput().group("h", "high", "a", "b").free("c").view("a", lostFor(6*time.Second)), "h:forming c b"),
	Entry("replaces after half the repair delay at a low downtime weight", balanced(0),
		newInput().group("h", "high", "a", "b").free("c").view("a", lostFor(6*time.Second)), "h:forming c b"),
	Entry("does not replace before half the repair delay at a high downtime weight", balanced(1),
		newInput().group("h", "high", "a", "b").free("c").view("a", lostFor(4*time.Second)), "h:serving a b"),
	Entry("does not replace before half the repair delay at a low downtime weight", balanced(0),
		newInput().group("h", "high", "a", "b").free("c").view("a", lostFor(4*time.Second)), "h:serving a b"),
	Entry("replaces a member that never reports its role", placement.Wait{},
		newInput().group("h", "high", "a", "b").free("c").view("b", func(v *placement.InstanceView) {
			v.UnfilledFor = time.Hour
		}), "h:forming a c"),
	Entry("withdraws one of two incomplete groups", placement.Merge{},
		newInput().group("h1", "high", "a", "b").group("h2", "high", "c", "d").
			view("a", lostFor(time.Minute)).view("d", lostFor(time.Minute)), "h1:serving a b", "h2:withdrawn c d"),
	Entry("withdraws an incomplete group of a lower-priority service first", placement.Merge{},
		newInput().group("h1", "high", "a", "b").group("h2", "high", "c", "d").group("l", "low", "e", "f").
			view("a", lostFor(time.Minute)).view("d", lostFor(time.Minute)).view("e", lostFor(time.Minute)),
		"h1:serving a b", "h2:serving c d", "l:withdrawn e f"),
	Entry("does not complete a withdrawn group while a higher-priority group waits for its instances", placement.Merge{},
		func() *inputBuilder {
			s := newInput().group("h", "high", "a", "b").group("l", "low", "c", "d").free("e").
				view("a", lostFor(time.Minute)).view("b", lostFor(time.Minute)).view("c", lostFor(time.Minute))
			s.Current.Groups[1].Phase = fleet.PhaseWithdrawn
			return s
		}(), "h:serving a b"),
	Entry("withdraws no group for one that is withdrawn itself", placement.Merge{},
		func() *inputBuilder {
			s := newInput().group("h1", "high", "a", "b").group("h2", "high", "c", "d").
				view("a", lostFor(time.Minute)).view("d", lostFor(time.Minute))
			s.Current.Groups[0].Phase = fleet.PhaseWithdrawn
			return s
		}(), "h2:serving c d"),
	Entry("withdraws no incomplete group of a higher-priority service", placement.Merge{},
		newInput().group("h", "high", "a", "b").group("l", "low", "c", "d").
			view("a", lostFor(time.Minute)).view("c", lostFor(time.Minute)), "h:serving a b", "l:withdrawn c d"),
	Entry("does not withdraw a complete group of the same service", placement.Merge{},
		newInput().group("h1", "high", "a", "b").group("h2", "high", "c", "d").
			view("a", lostFor(time.Minute)), "h1:serving a b", "h2:serving c d"),
	Entry("takes instances from a lower-priority group", placement.Preempt{},
		newInput().group("l", "low", "a", "b").group("h", "high", "c", "d").
			view("c", lostFor(time.Minute)), "l:withdrawn a b", "h:serving c d"),
	Entry("takes no instances from a higher-priority group", placement.Preempt{},
		newInput().group("l", "low", "a", "b").group("h", "high", "c", "d").
			view("a", lostFor(time.Minute)), "l:serving a b", "h:serving c d"),
	Entry("withdraws no further group while instances are being released", balanced(1),
		newInput().group("l", "low", "a", "b").group("h", "high", "c", "d").view("c", lostFor(time.Minute)).
			free("e").view("e", func(v *placement.InstanceView) { v.Report.Group = "old" }), "l:serving a b", "h:serving c d"),
	Entry("withdraws a group with a leaving member at once", balanced(0.5),
		newInput().group("h", "high", "a", "b").view("a", leaving), "h:withdrawn a b"),
	Entry("withdraws one group of a service at a time for a new version", balanced(0.5),
		func() *inputBuilder {
			s := newInput().group("h1", "high", "a", "b").group("h2", "high", "c", "d")
			service := s.Services["high"]
			service.Version = "2"
			s.Services["high"] = service
			return s
		}(), "h1:withdrawn a b", "h2:serving c d"),
	Entry("waits for requests in flight of a withdrawn group", balanced(0.5),
		func() *inputBuilder {
			s := newInput().group("h", "high", "a", "b").view("b", func(v *placement.InstanceView) { v.Report.Running = 1 })
			s.Groups, s.Current.Groups[0].Phase, s.GroupAge[1] = nil, fleet.PhaseWithdrawn, 10*time.Second
			return s
		}(), "h:withdrawn a b"),
	Entry("waits for requests in flight of a withdrawn group as long as they may take", balanced(0.5),
		withdrawnWithRequests(fleet.DefaultCompletionTimeout-time.Second, true), "h:withdrawn a b"),
	Entry("doesn't wait for them any longer", balanced(0.5), withdrawnWithRequests(fleet.DefaultCompletionTimeout, true)),
	Entry("waits for requests in flight of a withdrawn service as long as any may take", balanced(0.5),
		withdrawnWithRequests(fleet.MaxTimeout-time.Second, false), "h:withdrawn a b"),
	Entry("doesn't wait for those any longer", balanced(0.5), withdrawnWithRequests(fleet.MaxTimeout, false)),
	Entry("removes a drained group that is not configured", balanced(0.5),
		func() *inputBuilder {
			s := newInput().group("h", "high", "a", "b")
			s.Groups, s.Current.Groups[0].Phase = nil, fleet.PhaseWithdrawn
			return s
		}()),
)

// withdrawnWithRequests returns an input with a group that was withdrawn some time ago,
// together with its service unless that is still configured, and has a request in flight.
func withdrawnWithRequests(age time.Duration, configured bool) *inputBuilder {
	b := newInput().group("h", "high", "a", "b").view("b", func(v *placement.InstanceView) { v.Report.Running = 1 })
	b.Groups, b.Current.Groups[0].Phase, b.GroupAge[1] = nil, fleet.PhaseWithdrawn, age
	if !configured {
		delete(b.Services, "high")
	}
	return b
}

// alwaysFill is a policy that always fills, even if instances are not free.
type alwaysFill struct{ placement.Policy }

func (alwaysFill) Name() string { return "alwaysFill" }

func (alwaysFill) Decide(*placement.PlanState, *placement.Shortage) placement.Action {
	return placement.Action{Kind: placement.ActionFill}
}

var _ = Describe("A faulty policy", func() {
	It("cannot fill a group from instances that are not free", func() {
		// Guards against placement rules that only the policy enforces.
		s := newInput().group("l", "low", "a", "b").group("h", "high").free("c").view("c", func(v *placement.InstanceView) { v.Report.Running = 1 })
		result, err := placement.Plan(&s.Input, alwaysFill{})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Changed).To(BeFalse())
	})
})
