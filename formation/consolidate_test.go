package formation_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/formation"
)

// Guards against capacity that stays at a third after losses, because groups over
// several domains aren't replaced, and against groups that are closed and formed again
// and again.
func TestConsolidatesGroupsAfterLosses(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLosses(t, seed) })
		})
	}
}

func runLosses(t *testing.T, seed uint64) {
	g := NewWithT(t)
	fc := newFakeCluster(seed, 6, 10)
	fc.demand = map[string]float64{"large": 68, "small": 160}
	defer func() {
		if t.Failed() {
			t.Log(strings.Join(fc.events, "\n"))
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	h := &holder{}
	h.run(ctx, fc, &all)
	h.set(1, true)
	time.Sleep(10 * time.Second)
	for range 6 {
		fc.killMembers(2)
		time.Sleep(3 * time.Second)
	}
	time.Sleep(30 * time.Second)
	settled := fc.eventCount()
	time.Sleep(20 * time.Second)
	g.Expect(fc.eventCount()).To(Equal(settled), "commands were sent although the instance list didn't change")
	g.Expect(fc.violations).To(BeEmpty())
	for _, m := range profile.Models {
		g.Expect(fc.consolidatable(m.Name, m.Size)).To(BeEmpty(), "domains with enough members for a %s group within the domain", m.Name)
	}
}

// eventCount returns the number of recorded events, of which commands are a part.
func (fc *fakeCluster) eventCount() int {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return len(fc.events)
}

// killMembers permanently ends n members of groups.
func (fc *fakeCluster) killMembers(n int) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	var members []string
	for id, e := range fc.engines {
		if !e.dead && e.Membership.Group != "" {
			members = append(members, id)
		}
	}
	slices.Sort(members)
	for range n {
		at := fc.random.IntN(len(members))
		fc.recordEvent("%s is lost", members[at])
		fc.engines[members[at]].dead = true
		members = slices.Delete(members, at, at+1)
	}
}

// consolidatable returns the domains that have enough idle instances and members of
// groups over several domains for a group of a model within the domain.
func (fc *fakeCluster) consolidatable(model string, size int) []string {
	usable := map[string]int{}
	roster := fc.roster()
	grouped := map[string]bool{}
	for _, g := range roster.Groups["llm"] {
		for _, in := range g.Members {
			grouped[in.ID] = true
			if g.Model == model && g.SpansDomains() {
				usable[in.FabricDomain]++
			}
		}
	}
	for id, in := range roster.ByID {
		if !grouped[id] {
			usable[in.FabricDomain]++
		}
	}
	var domains []string
	for domain, n := range usable {
		if n >= size {
			domains = append(domains, domain)
		}
	}
	return domains
}

var _ = Describe("consolidation of groups", func() {
	spread := func() *formation.Snapshot {
		a, b := group("a", "small", "d0", 2, engine.Open), group("b", "small", "d0", 2, engine.Open)
		a[1].FabricDomain, b[1].FabricDomain = "d1", "d2"
		s := snapshot(a, b)
		s.Loads = -1
		return s
	}

	It("closes groups over several domains that share a domain, and reserves their members", func() {
		// Guards against members that another group uses before the planned one is formed.
		p := formation.NewPlan(spread())
		Expect(operationsOf(p)).To(ConsistOf("close a-0", "close b-0"))
		Expect(p.Reservations).To(HaveLen(1))
		Expect(p.Reservations[0].Domain).To(Equal("d0"))
		Expect(p.Reservations[0].Groups).To(Equal(1))
	})

	It("aborts requests in progress only if another group can continue all of them", func() {
		// Guards against a planned change that aborts requests that can't be continued.
		s := spread()
		Expect(formation.NewPlan(s).Commands).To(HaveEach(HaveField("AbortInFlight", false)))
		s.Repeatable = true
		Expect(formation.NewPlan(s).Commands).To(HaveEach(HaveField("AbortInFlight", true)))
	})

	It("leaves groups alone whose members are too few for a group within a domain", func() {
		// Guards against a loss of capacity without any gain.
		s := spread()
		s.Instances[2].FabricDomain = "d3"
		s.Groups = engine.GroupsOf(s.Instances)
		Expect(operationsOf(formation.NewPlan(s))).To(BeEmpty())
	})
})

var _ = Describe("a reservation", func() {
	It("forms the group that others were closed for, even if another model has a larger deficit", func() {
		// Guards against members of closed groups that stay idle until their reservation
		// expires.
		s := snapshot(idle("d0", 4, "large", "small"))
		s.Demand = map[string]float64{"large": 300, "small": 20}
		Expect(modelsOf(formation.NewPlan(s))).To(Equal([]string{"large"}))
		s.Reservations = map[string]formation.Reservation{"d0": {Domain: "d0", Model: "small", Groups: 2, Until: now.Add(time.Second)}}
		Expect(modelsOf(formation.NewPlan(s))).To(Equal([]string{"small", "small"}))
	})
})
