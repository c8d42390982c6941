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

// Guards against capacity that stays at a third after losses, and against groups closed in turns.
func TestRegroupsWithinDomainsAfterLosses(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLosses(t, seed) })
		})
	}
}

func playLosses(t *testing.T, seed uint64) {
	g := NewWithT(t)
	w := newWorld(seed, 6, 10)
	w.demand = map[string]float64{"large": 68, "small": 160}
	defer func() {
		if t.Failed() {
			t.Log(strings.Join(w.events, "\n"))
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	h := &holder{}
	h.run(ctx, w, &all)
	h.set(1, true)
	time.Sleep(10 * time.Second)
	for range 6 {
		w.loseJoined(2)
		time.Sleep(3 * time.Second)
	}
	time.Sleep(30 * time.Second)
	settled := w.orders()
	time.Sleep(20 * time.Second)
	g.Expect(w.orders()).To(Equal(settled), "orders without a change of the list")
	g.Expect(w.violations).To(BeEmpty())
	for _, m := range profile.Models {
		g.Expect(w.regroupable(m.Name, m.Size)).To(BeEmpty(), "domains with members for a %s group of their own", m.Name)
	}
}

// orders returns the number of orders carried out so far.
func (w *world) orders() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.events)
}

// loseJoined ends a number of members of groups for good.
func (w *world) loseJoined(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var joined []string
	for id, m := range w.machines {
		if !m.dead && m.Membership.Group != "" {
			joined = append(joined, id)
		}
	}
	slices.Sort(joined)
	for range n {
		at := w.random.IntN(len(joined))
		w.note("%s is lost", joined[at])
		w.machines[joined[at]].dead = true
		joined = slices.Delete(joined, at, at+1)
	}
}

// regroupable returns the domains that have, in groups over several domains and idle,
// enough instances for a group of a model within the domain.
func (w *world) regroupable(model string, size int) []string {
	usable := map[string]int{}
	roster := w.roster()
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

var _ = Describe("regroup", func() {
	spread := func() *formation.Situation {
		a, b := group("a", "small", "d0", 2, engine.Open), group("b", "small", "d0", 2, engine.Open)
		a[1].FabricDomain, b[1].FabricDomain = "d1", "d2"
		s := situation(a, b)
		s.Loads = -1
		return s
	}

	It("closes the groups over several domains that share one, and keeps their members", func() {
		// Guards against members that are used otherwise meanwhile.
		p := formation.Make(spread())
		Expect(operations(p)).To(ConsistOf("close a-0", "close b-0"))
		Expect(p.Reserve).To(HaveLen(1))
		Expect(p.Reserve[0].Domain).To(Equal("d0"))
		Expect(p.Reserve[0].Groups).To(Equal(1))
	})

	It("cuts requests in progress only if all of them may go on elsewhere", func() {
		// Guards against a planned change that ends requests for good.
		s := spread()
		Expect(formation.Make(s).Commands).To(HaveEach(HaveField("CutRunning", false)))
		s.Repeatable = true
		Expect(formation.Make(s).Commands).To(HaveEach(HaveField("CutRunning", true)))
	})

	It("leaves groups alone whose members make none within a domain", func() {
		// Guards against capacity lost without a gain.
		s := spread()
		s.Instances[2].FabricDomain = "d3"
		s.Groups = engine.GroupsOf(s.Instances)
		Expect(operations(formation.Make(s))).To(BeEmpty())
	})
})

var _ = Describe("a reservation", func() {
	It("forms the group that others were closed for, whatever another model lacks by then", func() {
		// Guards against closed groups whose members wait until their reservation ends.
		s := situation(idle("d0", 4, "large", "small"))
		s.Demand = map[string]float64{"large": 300, "small": 20}
		Expect(models(formation.Make(s))).To(Equal([]string{"large"}))
		s.Reserved = map[string]formation.Reservation{"d0": {Domain: "d0", Model: "small", Groups: 2, Until: now.Add(time.Second)}}
		Expect(models(formation.Make(s))).To(Equal([]string{"small", "small"}))
	})
})
