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

// scene is an input under construction: groups of two in fabric domain f.
type scene struct{ placement.Input }

func newScene() *scene {
	s := &scene{placement.Input{FabricDomain: "f", LoadsAllowed: 8, Now: now,
		Services:  map[string]fleet.Service{},
		Instances: map[string]placement.InstanceView{},
		GroupAge:  map[fleet.Generation]time.Duration{},
		Current:   fleet.Placement{FabricDomain: "f", NextGeneration: 1}}}
	return s.service("high", 2).service("low", 1)
}

func (s *scene) service(name string, priority int) *scene {
	s.Services[name] = fleet.Service{Name: name, Kind: fleet.KindModel, Pool: "p", Version: "1", Priority: priority}
	return s
}

// group adds a configured group with serving members.
func (s *scene) group(name, service string, ids ...string) *scene {
	s.Groups = append(s.Groups, fleet.Group{Name: name, Service: service, Size: 2, FabricDomain: "f"})
	if len(ids) == 0 {
		return s
	}
	g := fleet.PlacedGroup{Name: name, Service: service, Version: "1", Phase: fleet.PhaseServing, Generation: s.Current.NextGeneration}
	s.Current.NextGeneration++
	for rank, id := range ids {
		g.Members = append(g.Members, fleet.GroupMember{Instance: id, Address: id})
		s.view(id, func(v *placement.InstanceView) {
			v.Report = fleet.Report{Instance: id, Group: name, Generation: g.Generation, Rank: rank, Size: 2,
				Service: service, Version: "1", State: fleet.EngineReady, LoadedVersions: []string{service + "/1"}}
			v.UnplacedAt, v.IdleAfter = time.Time{}, now
		})
	}
	s.Current.Groups = append(s.Current.Groups, g)
	s.GroupAge[g.Generation] = time.Hour
	return s
}

// free adds idle instances.
func (s *scene) free(ids ...string) *scene {
	for _, id := range ids {
		s.view(id, nil)
	}
	return s
}

// view changes an instance, adding it as an idle one.
func (s *scene) view(id string, change func(*placement.InstanceView)) *scene {
	v, known := s.Instances[id]
	if !known {
		v = placement.InstanceView{Listed: true, Fresh: true, ObservedAt: now,
			UnplacedAt: now.Add(-time.Minute), IdleAfter: now.Add(-time.Minute),
			Entry:  fleet.Instance{ID: id, Address: id, Pool: "p", FabricDomain: "f", State: fleet.InstanceLive},
			Report: fleet.Report{Instance: id, State: fleet.EngineIdle}}
	}
	if change != nil {
		change(&v)
	}
	s.Instances[id] = v
	return s
}

func lost(d time.Duration) func(*placement.InstanceView) {
	return func(v *placement.InstanceView) { v.Fresh, v.LostFor = false, d }
}

func leaving(v *placement.InstanceView)  { v.Entry.State = fleet.InstanceLeaving }
func unlisted(v *placement.InstanceView) { v.Listed = false }

// show writes a placement as "name:phase[members]".
func show(p *fleet.Placement) []string {
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

// Each entry guards against the failure that its name excludes.
var _ = DescribeTable("Plan", func(policy placement.Policy, s *scene, want ...string) {
	result, err := placement.Plan(&s.Input, policy)
	Expect(err).NotTo(HaveOccurred())
	Expect(show(&result.Next)).To(Equal(want))
	for _, g := range result.Next.Groups {
		before := s.Current.Group(g.Name)
		if before == nil || fmt.Sprint(before.Members) != fmt.Sprint(g.Members) {
			Expect(g.Generation).To(BeNumerically(">=", s.Current.NextGeneration))
		}
	}
	again, err := placement.Plan(&s.Input, policy)
	Expect(err).NotTo(HaveOccurred())
	Expect(show(&again.Next)).To(Equal(want), "the plan is not a pure function of its input")
},
	Entry("forms the more needed group first", balanced(0.5),
		newScene().group("l", "low").group("h", "high").free("a", "b", "c"), "h:forming a b"),
	Entry("prefers instances with the weights loaded", balanced(0.5),
		newScene().group("h", "high").free("a", "b", "c").view("c", func(v *placement.InstanceView) {
			v.Report.LoadedVersions = []string{"high/1"}
		}), "h:forming c a"),
	Entry("uses no instance before it reported idle after its release", balanced(1),
		newScene().group("h", "high").free("a", "b").view("b", func(v *placement.InstanceView) { v.IdleAfter = now })),
	Entry("starts no load beyond the allowance", balanced(1),
		func() *scene { s := newScene().group("h", "high").free("a", "b"); s.LoadsAllowed = 0; return s }()),
	Entry("does not replace a member that only the list misses", balanced(1),
		newScene().group("h", "high", "a", "b").free("c").view("a", unlisted), "h:serving a b"),
	Entry("does not replace before the repair delay", placement.Replace{},
		newScene().group("h", "high", "a", "b").free("c").view("a", lost(9*time.Second)), "h:serving a b"),
	Entry("replaces after the repair delay and keeps the other rank", placement.Replace{},
		newScene().group("h", "high", "a", "b").free("c").view("a", lost(11*time.Second)), "h:forming c b"),
	Entry("waits with the policy wait", placement.Wait{},
		newScene().group("h", "high", "a", "b").free("c").view("a", lost(time.Hour)), "h:serving a b"),
	Entry("replaces after half the repair delay at a high downtime weight", balanced(1),
		newScene().group("h", "high", "a", "b").free("c").view("a", lost(6*time.Second)), "h:forming c b"),
	Entry("replaces after half the repair delay at a low downtime weight", balanced(0),
		newScene().group("h", "high", "a", "b").free("c").view("a", lost(6*time.Second)), "h:forming c b"),
	Entry("does not replace before half the repair delay at a high downtime weight", balanced(1),
		newScene().group("h", "high", "a", "b").free("c").view("a", lost(4*time.Second)), "h:serving a b"),
	Entry("does not replace before half the repair delay at a low downtime weight", balanced(0),
		newScene().group("h", "high", "a", "b").free("c").view("a", lost(4*time.Second)), "h:serving a b"),
	Entry("replaces a member that never takes its role", placement.Wait{},
		newScene().group("h", "high", "a", "b").free("c").view("b", func(v *placement.InstanceView) {
			v.UnfilledFor = time.Hour
		}), "h:forming a c"),
	Entry("breaks up one of two broken groups", placement.Merge{},
		newScene().group("h1", "high", "a", "b").group("h2", "high", "c", "d").
			view("a", lost(time.Minute)).view("d", lost(time.Minute)), "h1:serving a b", "h2:withdrawn c d"),
	Entry("breaks up a broken group of a less needed service first", placement.Merge{},
		newScene().group("h1", "high", "a", "b").group("h2", "high", "c", "d").group("l", "low", "e", "f").
			view("a", lost(time.Minute)).view("d", lost(time.Minute)).view("e", lost(time.Minute)),
		"h1:serving a b", "h2:serving c d", "l:withdrawn e f"),
	Entry("completes no withdrawn group whose instances a more needed one waits for", placement.Merge{},
		func() *scene {
			s := newScene().group("h", "high", "a", "b").group("l", "low", "c", "d").free("e").
				view("a", lost(time.Minute)).view("b", lost(time.Minute)).view("c", lost(time.Minute))
			s.Current.Groups[1].Phase = fleet.PhaseWithdrawn
			return s
		}(), "h:serving a b"),
	Entry("breaks up no group for one that is withdrawn itself", placement.Merge{},
		func() *scene {
			s := newScene().group("h1", "high", "a", "b").group("h2", "high", "c", "d").
				view("a", lost(time.Minute)).view("d", lost(time.Minute))
			s.Current.Groups[0].Phase = fleet.PhaseWithdrawn
			return s
		}(), "h2:serving c d"),
	Entry("breaks up no broken group of a more needed service", placement.Merge{},
		newScene().group("h", "high", "a", "b").group("l", "low", "c", "d").
			view("a", lost(time.Minute)).view("c", lost(time.Minute)), "h:serving a b", "l:withdrawn c d"),
	Entry("does not break up a whole group of the same service", placement.Merge{},
		newScene().group("h1", "high", "a", "b").group("h2", "high", "c", "d").
			view("a", lost(time.Minute)), "h1:serving a b", "h2:serving c d"),
	Entry("takes instances from a less needed group", placement.Preempt{},
		newScene().group("l", "low", "a", "b").group("h", "high", "c", "d").
			view("c", lost(time.Minute)), "l:withdrawn a b", "h:serving c d"),
	Entry("takes none from a more needed group", placement.Preempt{},
		newScene().group("l", "low", "a", "b").group("h", "high", "c", "d").
			view("a", lost(time.Minute)), "l:serving a b", "h:serving c d"),
	Entry("breaks up no second group while instances are coming", balanced(1),
		newScene().group("l", "low", "a", "b").group("h", "high", "c", "d").view("c", lost(time.Minute)).
			free("e").view("e", func(v *placement.InstanceView) { v.Report.Group = "old" }), "l:serving a b", "h:serving c d"),
	Entry("withdraws a group with a leaving member at once", balanced(0.5),
		newScene().group("h", "high", "a", "b").view("a", leaving), "h:withdrawn a b"),
	Entry("withdraws one group of a service at a time for a new version", balanced(0.5),
		func() *scene {
			s := newScene().group("h1", "high", "a", "b").group("h2", "high", "c", "d")
			service := s.Services["high"]
			service.Version = "2"
			s.Services["high"] = service
			return s
		}(), "h1:withdrawn a b", "h2:serving c d"),
	Entry("waits for running requests of a withdrawn group", balanced(0.5),
		func() *scene {
			s := newScene().group("h", "high", "a", "b").view("b", func(v *placement.InstanceView) { v.Report.Running = 1 })
			s.Groups, s.Current.Groups[0].Phase, s.GroupAge[1] = nil, fleet.PhaseWithdrawn, 10*time.Second
			return s
		}(), "h:withdrawn a b"),
	Entry("removes a drained group that is not configured", balanced(0.5),
		func() *scene {
			s := newScene().group("h", "high", "a", "b")
			s.Groups, s.Current.Groups[0].Phase = nil, fleet.PhaseWithdrawn
			return s
		}()),
)

// rash moves instances without regard to the rules.
type rash struct{ placement.Policy }

func (rash) Name() string { return "rash" }

func (rash) Decide(*placement.Situation, *placement.Shortage) placement.Action {
	return placement.Action{Kind: placement.ActionFill}
}

var _ = Describe("A faulty policy", func() {
	It("cannot fill a group from instances that are not free", func() {
		// Guards against rules that rest on the policy alone.
		s := newScene().group("l", "low", "a", "b").group("h", "high").free("c").view("c", func(v *placement.InstanceView) { v.Report.Running = 1 })
		result, err := placement.Plan(&s.Input, rash{})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Changed).To(BeFalse())
	})
})
