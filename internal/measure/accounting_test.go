package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/limit"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/placement"
	"github.com/rattanlanding/rattanlanding/retry"
)

func TestMeasure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "measure")
}

// smallGroups is one fabric domain with two groups of three instances and two spares.
var smallGroups = groupsShape{name: "small", domains: 1, groups: 2, size: 3, spares: 2}

var _ = Describe("The groups simulation", func() {
	balanced := groupsPolicy{"balanced", placement.Balanced{DowntimeWeight: 0.5}}

	It("counts each instance once and each group that does not serve as down", func() {
		// Guards against an instance that is counted in two groups, or counted as
		// stranded while it serves.
		sim := newGroupsSim("f", balanced.policy, &smallGroups)
		_, err := sim.run(nil, 0)
		Expect(err).NotTo(HaveOccurred())
		t := newGroupsTimeline(rand.New(rand.NewPCG(1, 1)), len(sim.slots), time.Hour)
		t.faults(groupsRates{lost: 20_000, restarted: 20_000, replaced: 10_000, paused: 10_000}, 0)
		events, start := t.sorted(), sim.now
		Expect(events).NotTo(BeEmpty())
		for sim.now.Sub(start) < time.Hour {
			for len(events) > 0 && !start.Add(events[0].at).After(sim.now) {
				sim.apply(events[0])
				events = events[1:]
			}
			before := sim.figures
			Expect(sim.reconcile(time.Second)).To(Succeed())
			sim.account(time.Second)
			members, down, serving := 0, 0, 0
			for i := range sim.groups {
				g := sim.current.Group(sim.groups[i].Name)
				if g != nil {
					members += len(g.Members)
				}
				if sim.serves(g) {
					serving += len(g.Members)
				} else {
					down++
				}
			}
			up := 0
			for _, e := range sim.engines {
				if e.up {
					up++
				}
			}
			Expect(sim.members()).To(HaveLen(members))
			Expect(sim.figures.downtime - before.downtime).To(Equal(time.Duration(down) * time.Second))
			Expect(sim.figures.stranded - before.stranded).To(BeNumerically("<=", time.Duration(up-serving)*time.Second))
			sim.now = sim.now.Add(time.Second)
		}
		Expect(sim.figures.downtime).To(BeNumerically(">", 0))
	})

	It("counts no downtime without faults, and all groups as down during an outage of the domain", func() {
		// Guards against time between two steps that is counted twice or left out.
		for _, dark := range []bool{false, true} {
			sim := newGroupsSim("f", placement.Wait{}, &smallGroups)
			t := newGroupsTimeline(nil, len(sim.slots), time.Hour)
			want := time.Duration(0)
			if dark {
				t.domainOutage(0)
				want = time.Duration(smallGroups.groups) * groupsOutageTime
			}
			figures, err := sim.run(t.sorted(), groupsOutageTime)
			Expect(err).NotTo(HaveOccurred())
			Expect(figures).To(Equal(groupsFigures{downtime: want, neededDowntime: want}))
		}
	})

	It("computes a bound that is at most the cost of the planner", func() {
		// Guards against a bound that misses a better assignment and so exceeds a cost
		// that the planner reaches.
		random := rand.New(rand.NewPCG(1, 1))
		for range 10 {
			c, sim := drawGroupsBoundCase(random), newGroupsSim("f", balanced.policy, &smallGroups)
			_, err := sim.run(nil, 0)
			Expect(err).NotTo(HaveOccurred())
			bound := c.bound(sim.owners(), 0.5)
			figures, err := sim.run(c.events(), groupsBoundHorizon)
			Expect(err).NotTo(HaveOccurred())
			Expect(figures.cost(0.5, smallGroups.size)).To(BeNumerically(">=", bound))
		}
	})

	It("restarts and lists every instance of a lost rack", func() {
		// Guards against a rack that never returns, with which all policies have the
		// same figures.
		sim := newGroupsSim("f", balanced.policy, &smallGroups)
		t := newGroupsTimeline(rand.New(rand.NewPCG(1, 1)), len(sim.slots), time.Hour)
		t.rack()
		lost := make(map[int]bool)
		for _, event := range t.sorted() {
			sim.apply(event)
			lost[event.slot] = true
		}
		Expect(lost).To(HaveLen(len(sim.slots) / groupsRacksPerDomain))
		for _, e := range sim.slots {
			Expect(e.up && e.listed).To(BeTrue())
		}
	})
})

var _ = Describe("The retries simulation and the resume testbed", func() {
	DescribeTable("accounts for each request and each attempt", func(policy retriesPolicy, lost int, failing bool) {
		// Guards against requests that are lost or counted as answered twice, and
		// against attempts that belong to no request.
		policy.budget = retry.NewBudget(0, 0)
		sim := &retriesSim{policy: policy, random: rand.New(rand.NewPCG(1, 1)), lostGroups: lost, failing: failing}
		sim.run()
		arrived, sent, good, open := 0, 0, 0, len(sim.waiting)
		for i := range sim.arrived {
			arrived, sent, good = arrived+sim.arrived[i], sent+sim.sent[i], good+sim.good[i]
			Expect(sim.good[i]).To(BeNumerically("<=", sim.arrived[i]))
		}
		for i := range sim.queues {
			open += len(sim.queues[i]) + len(sim.running[i])
		}
		Expect(good + open).To(BeNumerically("<=", arrived))
		if lost == 0 && !failing {
			Expect(good + open).To(Equal(arrived))
		}
		Expect(sent).To(And(BeNumerically(">=", arrived-open), BeNumerically("<=", arrived*policy.attempts)))
	},
		Entry("without a fault", retriesPolicy{name: "budgeted", attempts: 3}, 0, false),
		Entry("without retries", retriesPolicy{name: "never", attempts: 1}, 5, false),
		Entry("with immediate retries", retriesPolicy{name: "at-once", attempts: 3}, 5, false),
		Entry("with retries within the budget", retriesPolicy{name: "budgeted", attempts: 3}, 0, true))

	It("resumes a stream at another group after each loss, without a lost token", func() {
		// Guards against a stand-in engine that hides the loss of its group or counts a
		// token twice.
		testbed := newResumeTestbedFakeClaims()
		defer testbed.close()
		s, err := testbed.stream(context.Background(), "p", "reset", 3, 20, 40)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.produced).To(Equal(resumeTokens))
		Expect((&resumeStream{groups: []string{"g0", "g0"}}).check(1)).NotTo(Succeed())
		Expect((&resumeStream{groups: []string{"g0"}}).check(1)).NotTo(Succeed())
	})

	It("counts each request of a phase once", func() {
		// Guards against fractions computed over requests that were not sent.
		testbed := newResumeTestbedFakeClaims()
		defer testbed.close()
		l := &platformLoad{testbed: testbed, outcomes: make(map[string]*platformOutcomes)}
		Expect(l.runPhase(context.Background(), "before", 5*platformTick, false)).To(Succeed())
		for _, kind := range platformKinds {
			o := l.outcomes["before"+kindSeparator+kind]
			Expect([]int{o.served, o.notRun, o.other}).To(Equal([]int{5, 0, 0}))
			Expect(o.times).To(HaveLen(5))
		}
	})
})

var _ = Describe("The simulated engine", func() {
	It("processes each token once and frees its KV cache space", func() {
		// Guards against queued tokens and KV cache space that are not released when a
		// request ends.
		e := &simEngine{slots: decodeSlots, slowdown: 1, kvCapacity: kvTokens, cache: newPrefixCache()}
		prompts, outputs, done := 0, 0, 0
		for i := range 20 {
			r := &simRequest{turn: turn{conversation: i + 1, system: i % 3, systemTokens: 400, prompt: 500 + 100*i, output: 1 + 7*i}}
			prompts += r.prompt - e.add(r)
			outputs += r.output - 1
		}
		for range 10_000 {
			if len(e.waiting)+len(e.running) == 0 {
				break
			}
			e.beginStep()
			e.endStep(func(*simRequest) {}, func(r *simRequest) {
				done++
				Expect(r.produced).To(Equal(r.output))
			})
		}
		Expect(done).To(Equal(20))
		Expect([]int{e.kvUsed, e.queuedTokens}).To(Equal([]int{0, 0}))
		Expect(e.servedTokens).To(BeNumerically("==", prompts+outputs))
		held := 0
		for _, element := range e.cache.entries {
			held += element.Value.(*cacheEntry).tokens
		}
		Expect(held).To(Equal(e.cache.used))
	})
})

var _ = Describe("The limits simulation", func() {
	It("admits at most the requested tokens and requests the offered demand", func() {
		// Guards against overrun and unused fractions computed from demand that was not
		// offered.
		s := newLimitsSim(limitsCase{name: "9 nodes", nodes: 9, change: "come and go"}, 1, limit.ProportionalShare{})
		Expect(s.run(context.Background(), 2)).To(Succeed())
		for o := range s.organisations {
			asked := 0.0
			for t := range s.requested[o] {
				Expect(s.admitted[o][t]).To(BeNumerically("<=", s.requested[o][t]))
				asked += s.requested[o][t]
			}
			due := 2 * s.organisations[o].TokensPerSecond * limitsEnd.Seconds()
			Expect(asked + s.credit[o]).To(BeNumerically("~", due, 1e-3*due))
		}
	})

	It("divides exactly the total into fair shares", func() {
		// Guards against fair shares that add up to more or less than was served, which
		// would distort Jain's index.
		asked := []float64{50, 5, 30, 1, 2, 3, 4, 5, 6, 7}
		fair, sum := fairShares(asked, 60), 0.0
		for i := range fair {
			Expect(fair[i]).To(BeNumerically("<=", asked[i]))
			sum += fair[i]
		}
		Expect(sum).To(BeNumerically("~", 60, 1e-9))
		Expect(jainIndex(fair, fair)).To(BeNumerically("~", 1, 1e-9))
	})
})

var _ = Describe("The counters of the path and capacity measurements", func() {
	It("count each token once", func() {
		// Guards against latencies that are recorded for lines without a token.
		body, seen := new(strings.Builder), 0
		for i := range 5 {
			fmt.Fprintf(body, "data: {\"position\":%d,\"choices\":[{\"text\":\"%d\"}]}\n\n", i, time.Now().UnixNano())
		}
		body.WriteString("data: [DONE]\n\n")
		Expect(readTokens(strings.NewReader(body.String()), func(time.Duration) { seen++ })).To(Succeed())
		Expect(seen).To(Equal(5))
	})

	It("count each call to the platform once", func() {
		// Guards against platform call rates that leave out calls or count them twice.
		ctx, s, key := context.Background(), &countingStore{Store: object.NewMemory()}, object.Key{Kind: "k", Name: "n"}
		version, err := s.Update(ctx, key, 0, []byte("12"))
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = s.Watch(ctx, key, version, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Delete(ctx, key, version)).To(Succeed())
		Expect([]int64{s.writes.Load(), s.reads.Load(), s.watches.Load(), s.bytes.Load()}).To(Equal([]int64{2, 1, 1, 2}))
	})
})
