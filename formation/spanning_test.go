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

	. "github.com/onsi/gomega"
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
