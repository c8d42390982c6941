package formation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/formation"
)

func TestFormation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "formation")
}

var profile = &catalog.EngineProfile{
	Slots: 17, LoadsPerSecond: 5, LoadsAtOnce: 7, DistanceFactor: 3,
	Models: []catalog.Model{
		{Name: "large", Size: 4, Share: 0.5, Pace: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
		{Name: "small", Size: 2, Share: 0.5, Pace: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
	},
}

var now = time.Unix(1_000_000, 0)

// idle returns n free instances of a domain with the weights of models.
func idle(domain string, n int, staged ...string) []*engine.Instance {
	var list []*engine.Instance
	for i := range n {
		list = append(list, &engine.Instance{ID: fmt.Sprintf("%s-%d%s", domain, i, slices.Concat(staged)), Service: "llm",
			Address: "127.0.0.1:1", FabricDomain: domain, Staged: staged})
	}
	return list
}

// group returns the members of a group, the first one with the head's phase.
func group(name, model, domain string, size int, head engine.Phase) []*engine.Instance {
	var list []*engine.Instance
	for rank := range size {
		phase := engine.Ready
		if rank == 0 {
			phase = head
		}
		list = append(list, &engine.Instance{ID: fmt.Sprintf("%s-%d", name, rank), Service: "llm", FabricDomain: domain,
			Model: model, Membership: engine.Membership{Group: name, Epoch: 1, Rank: rank, Phase: phase}})
	}
	return list
}

// situation returns one with the instances and with traffic under way.
func situation(lists ...[]*engine.Instance) *formation.Situation {
	instances := slices.Concat(lists...)
	return &formation.Situation{
		Profile: profile, Instances: instances, Groups: engine.GroupsOf(instances),
		Demand: map[string]float64{"large": 40, "small": 40}, DemandFor: time.Minute,
		Ordered: map[string]bool{}, Formed: map[engine.GroupID]formation.Formation{},
		LastHead: map[engine.GroupID]*engine.Instance{}, SeenSince: map[engine.GroupID]time.Time{},
		Progress: func(string) bool { return false }, Staging: map[string]string{}, Loads: 5, Now: now,
	}
}

func models(p formation.Plan) []string {
	var all []string
	for _, d := range p.Groups {
		all = append(all, d.Model)
	}
	slices.Sort(all)
	return all
}

func operations(p formation.Plan) []string {
	var all []string
	for _, c := range p.Commands {
		all = append(all, string(c.Operation)+" "+c.Instance)
	}
	slices.Sort(all)
	return all
}

var _ = Describe("Make", func() {
	It("uses every instance at the start, each once and within a domain", func() {
		// Guards against instances that serve nobody, and against one in two groups.
		s := situation(idle("d0", 10), idle("d1", 10), idle("d2", 10))
		s.LoadsAreShort, s.Loads, s.Demand = true, 1000, nil
		p := formation.Make(s)
		used := map[string]bool{}
		for _, d := range p.Groups {
			for _, in := range d.Members {
				Expect(used[in.ID]).To(BeFalse())
				Expect(in.FabricDomain).To(Equal(d.Members[0].FabricDomain))
				used[in.ID] = true
			}
		}
		Expect(used).To(HaveLen(30))
		Expect(models(p)).To(ContainElements("large", "small"))
	})

	It("divides the instances at the start by the shares of the work and a bounded reserve", func() {
		// Guards against a start with twice the large groups that the demand needs,
		// while every small one is full.
		var lists [][]*engine.Instance
		for i := range 9 {
			lists = append(lists, idle(fmt.Sprint("d", i), 18))
		}
		s := situation(lists...)
		s.Profile = &catalog.EngineProfile{Slots: 20, LoadsPerSecond: 14, LoadsAtOnce: 20, Models: []catalog.Model{
			{Name: "large", Size: 8, Share: 0.5, Pace: 1}, {Name: "small", Size: 2, Share: 0.5, Pace: 0.6}}}
		s.LoadsAreShort, s.Loads, s.Demand = true, 1000, nil
		used := map[string]int{}
		for _, d := range formation.Make(s).Groups {
			used[d.Model] += len(d.Members)
		}
		// 162 instances, 2 to 1.5.
		Expect(used["large"]).To(BeNumerically("~", 92, 8))
		Expect(used["small"]).To(BeNumerically("~", 70, 8))
	})

	It("opens a group only when every member has joined", func() {
		// Guards against requests in a group that lacks a member.
		ready := situation(group("g", "small", "d0", 2, engine.Ready))
		ready.Loads = 0
		Expect(operations(formation.Make(ready))).To(Equal([]string{"open g-0"}))
		joining := group("g", "small", "d0", 2, engine.Ready)
		joining[1].Membership.Phase = engine.Joining
		s := situation(joining)
		s.SeenSince[engine.GroupID{Name: "g", Epoch: 1}] = now
		Expect(operations(formation.Make(s))).To(BeEmpty())
	})

	It("closes a group that lost a member and uses no member before", func() {
		// Guards against an instance that joins another group while its head
		// still serves.
		broken := group("g", "large", "d0", 4, engine.Open)[:3]
		p := formation.Make(situation(broken))
		Expect(p.Groups).To(BeEmpty())
		Expect(p.Commands).To(HaveLen(1))
		Expect(p.Commands[0].CutRunning).To(BeTrue())
		for _, phase := range []engine.Phase{engine.Closing, engine.Ready, engine.Broken} {
			broken[0].Membership.Phase = phase
			s := situation(broken)
			s.Formed[engine.GroupID{Name: "g", Epoch: 1}] = formation.Formation{
				Model: "large", Members: []string{"g-0", "g-1", "g-2", "lost"}, At: now}
			s.Instances = append(s.Instances, idle("d0", 1, "large")...)
			p := formation.Make(s)
			switch phase {
			case engine.Closing:
				Expect(operations(p)).To(BeEmpty())
				Expect(p.Groups).To(BeEmpty())
			case engine.Ready:
				// An order to open it may still be carried out, so the head leaves
				// first.
				Expect(operations(p)).To(Equal([]string{"leave g-0"}))
				Expect(p.Groups).To(BeEmpty())
			case engine.Broken:
				Expect(p.Groups).To(HaveLen(1))
			}
		}
	})

	It("keeps a group whose lost member is only unlisted", func() {
		// Guards against breaking a group that works while a member is cut off
		// from the store alone.
		s := situation(group("g", "large", "d0", 4, engine.Open)[:3])
		s.Progress = func(head string) bool { return head == "g-0" }
		Expect(operations(formation.Make(s))).To(BeEmpty())
	})

	It("leaves the members of a missing head alone until they have left", func() {
		// Guards against members in a new group while their old head, cut off from
		// the store, still serves.
		s := situation(group("g", "small", "d0", 2, engine.Open)[1:], idle("d0", 1, "small"))
		Expect(formation.Make(s).Groups).To(BeEmpty())
		s.LastHead[engine.GroupID{Name: "g", Epoch: 1}] = &engine.Instance{ID: "elsewhere"}
		Expect(formation.Make(s).Groups).To(BeEmpty())
		s.Instances = append(s.Instances, &engine.Instance{ID: "elsewhere", FabricDomain: "d9"})
		Expect(formation.Make(s).Groups).To(HaveLen(1))
	})

	It("loads weights onto cold instances without holding up warm ones", func() {
		// Guards against a group of warm members that waits for one load.
		s := situation(idle("d0", 2, "small"), idle("d0", 2))
		p := formation.Make(s)
		Expect(p.Groups).To(HaveLen(1))
		Expect(p.Groups[0].Loads).To(BeZero())
		Expect(p.Commands).To(HaveLen(2))
		Expect(p.Commands[0].Operation).To(Equal(engine.Stage))
	})

	It("finds the model that lacks groups beside one without traffic or groups", func() {
		// Guards against a model without demand that hides another's lack.
		var lists [][]*engine.Instance
		for i := range 6 {
			list := group(fmt.Sprintf("g%d", i), "small", "d0", 2, engine.Open)
			for _, in := range list {
				in.Staged = []string{"large"}
			}
			lists = append(lists, list)
		}
		s := situation(lists...)
		s.Profile = &catalog.EngineProfile{Slots: 17, LoadsPerSecond: 5, LoadsAtOnce: 7, DistanceFactor: 3,
			Models: append([]catalog.Model{{Name: "unused", Size: 2, Pace: 1}}, profile.Models...)}
		s.Demand = map[string]float64{"large": 60, "small": 10}
		Expect(formation.Make(s).Reserve).To(ContainElement(HaveField("Model", "large")))
	})

	It("gives members of groups another model's weights with loads to spare", func() {
		// Guards against survivors that can only join groups of a model with enough.
		s := situation(group("g", "small", "d0", 2, engine.Open), group("h", "small", "d0", 2, engine.Open))
		s.Loads = 5
		p := formation.Make(s)
		Expect(operations(p)).To(HaveLen(3))
		Expect(p.Commands[0].Model).To(Equal("large"))
		s = situation(group("g", "small", "d0", 2, engine.Open))
		s.Loads = 2
		Expect(operations(formation.Make(s))).To(BeEmpty())
	})

	Describe("survivors of a large group", func() {
		// others returns groups of the small model, all of whose members have the
		// weights of the large one.
		others := func(n int, domain string) (list []*engine.Instance) {
			for i := range n {
				for _, in := range group(fmt.Sprintf("%s-s%d", domain, i), "small", domain, 2, engine.Open) {
					in.Staged = []string{"large"}
					list = append(list, in)
				}
			}
			return list
		}
		survivors := func() []*engine.Instance { return idle("d0", 3, "large", "small") }

		It("are kept whole with members of a model that has groups to spare", func() {
			// Guards against large groups that vanish with each loss, since their
			// survivors are a member short of another one.
			s := situation(survivors(), others(1, "d0"), others(4, "d1"), group("l", "large", "d2", 4, engine.Open))
			s.Demand = map[string]float64{"large": 10, "small": 10}
			p := formation.Make(s)
			Expect(p.Groups).To(BeEmpty())
			Expect(operations(p)).To(ContainElement("close d0-s0-0"))
			Expect(p.Reserve).To(ConsistOf(And(HaveField("Model", "large"), HaveField("Domain", "d0"))))
		})

		It("don't cost another group that serves more than theirs would", func() {
			// Guards against a large group that is closed to complete a small one.
			large := group("l", "large", "d0", 4, engine.Open)
			for _, in := range large {
				in.Staged = []string{"small"}
			}
			s := situation(idle("d0", 1, "small"), large, group("m", "large", "d1", 4, engine.Open),
				group("n", "small", "d1", 2, engine.Open), group("o", "small", "d1", 2, engine.Open))
			s.Demand = map[string]float64{"large": 1, "small": 10}
			s.Loads = 0
			Expect(operations(formation.Make(s))).NotTo(ContainElement("close l-0"))
		})

		It("are used at once if no model has groups to spare", func() {
			// Guards against idle instances, and against taking groups that are needed.
			s := situation(survivors(), others(1, "d0"), group("l", "large", "d2", 4, engine.Open))
			s.Demand = map[string]float64{"large": 10, "small": 60}
			p := formation.Make(s)
			Expect(models(p)).To(Equal([]string{"small"}))
			Expect(p.Reserve).To(BeEmpty())
		})
	})

	It("closes no groups of a model that is fuller than the one that lacks room", func() {
		// Guards against small groups, full already, that are closed to give large ones
		// the room that is planned with (scale-1 of maracas-hq-grown).
		var lists [][]*engine.Instance
		for i := range 32 {
			for _, in := range group(fmt.Sprintf("s%d", i), "small", fmt.Sprint("d", i/4), 2, engine.Open) {
				in.Staged = []string{"large"}
				lists = append(lists, []*engine.Instance{in})
			}
		}
		for i := range 9 {
			lists = append(lists, group(fmt.Sprintf("l%d", i), "large", fmt.Sprint("e", i), 8, engine.Open))
		}
		s := situation(lists...)
		s.Profile = &catalog.EngineProfile{Slots: 20, LoadsPerSecond: 14, LoadsAtOnce: 20, Models: []catalog.Model{
			{Name: "large", Size: 8, Share: 0.5, Pace: 1}, {Name: "small", Size: 2, Share: 0.5, Pace: 0.6}}}
		// The large groups are at 0.78 of their slots, more than is planned with; the
		// small ones are at 0.88.
		s.Demand, s.Loads = map[string]float64{"large": 140, "small": 560}, 0
		Expect(operations(formation.Make(s))).To(BeEmpty())
	})

	It("moves no more groups at a time than the lack asks for", func() {
		// Guards against most groups of one model that are closed within a few steps,
		// before the groups from their members are counted.
		var lists [][]*engine.Instance
		for i := range 9 {
			for _, in := range group(fmt.Sprintf("l%d", i), "large", fmt.Sprint("d", i), 4, engine.Open) {
				in.Staged = []string{"small"}
				lists = append(lists, []*engine.Instance{in})
			}
		}
		s := situation(slices.Concat(lists...), group("s", "small", "d9", 2, engine.Open))
		s.Demand = map[string]float64{"large": 20, "small": 60}
		s.Loads = 0
		s.Reserved = map[string]formation.Reservation{}
		closed := map[string]bool{}
		for range 10 {
			p := formation.Make(s)
			for _, c := range p.Commands {
				if c.Operation == engine.CloseHead {
					closed[c.Instance] = true
					s.Ordered[c.Instance] = true
				}
			}
			for _, r := range p.Reserve {
				Expect(r.Groups).To(Equal(2))
				s.Reserved[r.Domain] = r
			}
		}
		Expect(closed).To(HaveLen(2))
	})

	It("leaves most loads to new instances while members of groups load spare weights", func() {
		// Guards against new instances that wait behind loads nobody is waiting for.
		var lists [][]*engine.Instance
		for i := range 10 {
			lists = append(lists, group(fmt.Sprintf("g%d", i), "small", "d0", 2, engine.Open))
		}
		s := situation(lists...)
		s.Loads = 7
		Expect(formation.Make(s).Commands).To(HaveLen(3))
	})

	It("starts no more loads than allowed", func() {
		// Guards against more loads than the weight store serves.
		s := situation(idle("d0", 9))
		s.Loads = 3
		Expect(formation.Make(s).Commands).To(HaveLen(3))
		s.Loads = -1
		Expect(formation.Make(s).Commands).To(BeEmpty())
	})

	It("joins warm instances of several domains only while their model is short", func() {
		// Guards against idle survivors, and against slow groups without need.
		s := situation(idle("d0", 2, "large"), idle("d1", 2, "large"))
		Expect(models(formation.Make(s))).To(Equal([]string{"large"}))
		s = situation(idle("d0", 2, "large"), idle("d1", 2, "large"), group("g", "large", "d2", 4, engine.Open),
			group("h", "large", "d3", 4, engine.Open))
		s.Demand = map[string]float64{"large": 1, "small": 300}
		Expect(models(formation.Make(s))).NotTo(ContainElement("large"))
	})

	It("gives groups of a model with enough to one that is short", func() {
		// Guards against one model that serves late while another has groups to
		// spare, and against opening again what was closed for it.
		var lists [][]*engine.Instance
		for i := range 10 {
			list := group(fmt.Sprintf("g%d", i), "small", "d0", 2, engine.Open)
			for _, in := range list {
				in.Staged = []string{"large"}
			}
			lists = append(lists, list)
		}
		s := situation(lists...)
		s.Demand = map[string]float64{"large": 60, "small": 10}
		p := formation.Make(s)
		Expect(operations(p)).To(HaveLen(2))
		Expect(p.Reserve).To(HaveLen(1))
		Expect(p.Reserve[0].Model).To(Equal("large"))
		Expect(p.Commands[0].CutRunning).To(BeFalse())
		for _, in := range s.Instances {
			if slices.Contains(p.Reserve[0].Closed, engine.GroupID{Name: in.Membership.Group, Epoch: 1}) && in.Membership.Rank == 0 {
				in.Membership.Phase = engine.Ready
			}
		}
		s.Reserved = map[string]formation.Reservation{"d0": p.Reserve[0]}
		left := map[string]bool{}
		for _, c := range formation.Make(s).Commands {
			Expect(c.Operation).To(Equal(engine.Leave))
			left[c.Instance] = true
		}
		Expect(left).To(HaveLen(2))
		for _, in := range s.Instances {
			if left[in.ID] {
				s.LastHead[engine.GroupID{Name: in.Membership.Group, Epoch: 1}] = in
				in.Membership = engine.Membership{}
			}
		}
		s.Groups = engine.GroupsOf(s.Instances)
		p = formation.Make(s)
		Expect(operations(p)).To(BeEmpty())
		Expect(models(p)).To(Equal([]string{"large"}))
		s.Reserved, s.DemandFor = nil, time.Second
		s.Groups = engine.GroupsOf(slices.Concat(lists[:8]...))
		s.Instances = slices.Concat(lists[:8]...)
		Expect(formation.Make(s).Reserve).To(BeEmpty())
	})
})
