package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestForward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

// fakePeers returns fixed reports of other nodes.
type fakePeers struct {
	running  map[string]int
	nodes    int
	progress bool
	// evidence is what other nodes have seen of instances.
	evidence map[string]suspicion.Report
}

func (p *fakePeers) Running(instance string) int        { return p.running[instance] }
func (p *fakePeers) Progress(string) bool               { return p.progress }
func (p *fakePeers) Ahead(string, string) int           { return 0 }
func (p *fakePeers) Demand(string) float64              { return 0 }
func (p *fakePeers) ArrivalRate(string, string) float64 { return 0 }
func (p *fakePeers) Nodes() int                         { return max(p.nodes, 1) }
func (p *fakePeers) ReportAge() time.Duration           { return 100 * time.Millisecond }
func (p *fakePeers) Evidence(instance string) suspicion.Report {
	return p.evidence[instance]
}

var _ = Describe("Choose", func() {
	It("chooses the less loaded of two targets with a free slot", func() {
		// Guards against choosing a full, excluded or slow target.
		targets := []Candidate{
			{Requests: 18, Slots: 17, SameDomain: true},
			{Requests: 3, Slots: 17, SameDomain: true, Excluded: true},
			{Requests: 4, Slots: 5, SameDomain: true},
			{Requests: 8, Slots: 17, SameDomain: true},
			{Requests: 8, Slots: 17},
			{Requests: 0, Slots: 5, Slow: true},
		}
		// Three targets are eligible; all pairs of them are drawn.
		for first := range 3 {
			for second := range 2 {
				draws := []int{first, second}
				eligible := []int{2, 3, 4}
				pair := []int{eligible[first]}
				pair = append(pair, slices.Delete(eligible, first, first+1)[second])
				best := Choose(targets, 0, func(int) int {
					next := draws[0]
					draws = draws[1:]
					return next
				})
				if slices.Contains(pair, 3) {
					Expect(best).To(Equal(3))
				} else {
					Expect(best).To(Equal(4))
				}
			}
		}
		Expect(Choose(targets[:2], 0, rand.IntN)).To(Equal(-1))
		Expect(Choose(nil, 0, rand.IntN)).To(Equal(-1))
	})

	It("uses a slow or recently failed target only if no other has a free slot", func() {
		// Guards against a refusal while a slot is free, and against late responses while
		// usual targets have free slots.
		targets := []Candidate{{Requests: 1, Slots: 6, RecentlyFailed: true}, {Requests: 5, Slots: 6}, {Requests: 1, Slots: 2, Slow: true}}
		Expect(Choose(targets, 0, rand.IntN)).To(Equal(1))
		targets[1].Requests = 6
		Expect(Choose(targets, 0, rand.IntN)).To(Equal(2))
		targets[2].Requests = 2
		Expect(Choose(targets, 0, rand.IntN)).To(Equal(0))
	})

	It("avoids targets with long unread prompts", func() {
		// Guards against a first event that is delayed by a queue of prompts.
		Expect(Choose([]Candidate{{Requests: 2, Slots: 17, PromptTokens: 12_000}, {Requests: 5, Slots: 17}}, 0, rand.IntN)).To(Equal(1))
	})

	It("leaves the last slots to the nodes with precedence", func() {
		// Guards against a request from each node for one free slot.
		c := []Candidate{{Requests: 16, Slots: 17, Ahead: 3}}
		Expect(Choose(c, 0, rand.IntN)).To(Equal(-1))
		c[0].Ahead = 1
		Expect(Choose(c, 0, rand.IntN)).To(Equal(0))
	})
})

// newTables returns tables with a pool of n targets with the given number of slots.
func newTables(n, slots int) (*Tables, Pool) {
	pool := Pool{Service: "desk"}
	r := &engine.Roster{ByService: map[string][]*engine.Instance{}}
	for i := range n {
		r.ByService["desk"] = append(r.ByService["desk"], &engine.Instance{ID: string(rune('a' + i)), Service: "desk", Slots: slots})
	}
	t := NewTables()
	t.Build((&catalog.Configuration{Services: []catalog.Service{{Name: "desk"}}}).Index(), r)
	return t, pool
}

var _ = Describe("Dispatcher", func() {
	want := func(p Pool, goal time.Duration) SlotRequest {
		now := time.Now()
		return SlotRequest{Pool: p, GoalAt: now.Add(goal), Until: now.Add(2 * time.Second)}
	}

	It("adds the requests of other nodes at plain servers to its own, which count once", func() {
		// Guards against refusals because a waiting request of this node is counted once
		// for each of many nodes.
		tables, pool := newTables(2, 6)
		d := NewDispatcher(tables, &fakePeers{nodes: 88, running: map[string]int{"a": 2, "b": 1}}, "z", newThrottle())
		_, err := d.Acquire(context.Background(), want(pool, time.Second))
		Expect(err).NotTo(HaveOccurred())
		d.mu.Lock()
		defer d.mu.Unlock()
		slots, demand := d.slotsAndDemand(pool, time.Now())
		Expect(slots).To(Equal(12))
		Expect(demand).To(BeNumerically("~", 4, 0.01))
	})

	It("assigns a released slot to a request that can still be on time", func() {
		// Guards against serving every request late if there are more requests than
		// slots.
		tables, pool := newTables(1, 1)
		d := NewDispatcher(tables, &fakePeers{}, "", newThrottle())
		first, err := d.Acquire(context.Background(), want(pool, time.Second))
		Expect(err).NotTo(HaveOccurred())
		served := make(chan string, 2)
		wait := func(name string, goal time.Duration) {
			defer GinkgoRecover()
			slot, err := d.Acquire(context.Background(), want(pool, goal))
			Expect(err).NotTo(HaveOccurred())
			served <- name
			slot.Release()
		}
		go wait("late", time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		go wait("on time", time.Second)
		time.Sleep(50 * time.Millisecond)
		first.Release()
		Expect(<-served).To(Equal("on time"))
		Expect(<-served).To(Equal("late"))
	})

	It("refuses at once without a target, and if there is no time to wait", func() {
		// Guards against a request that waits in vain.
		tables, pool := newTables(0, 1)
		d := NewDispatcher(tables, &fakePeers{}, "", newThrottle())
		_, err := d.Acquire(context.Background(), want(pool, time.Second))
		Expect(err).To(MatchError(ErrNoTarget))
		tables, pool = newTables(1, 1)
		d = NewDispatcher(tables, &fakePeers{}, "", newThrottle())
		_, err = d.Acquire(context.Background(), want(pool, time.Second))
		Expect(err).NotTo(HaveOccurred())
		w := want(pool, time.Second)
		w.Until = time.Now()
		_, err = d.Acquire(context.Background(), w)
		Expect(err).To(MatchError(ErrFull))
	})

	It("counts the requests of other nodes", func() {
		// Guards against a target that several nodes together overload.
		tables, pool := newTables(2, 4)
		d := NewDispatcher(tables, &fakePeers{running: map[string]int{"a": 4, "b": 3}}, "", newThrottle())
		slot, err := d.Acquire(context.Background(), want(pool, time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(slot.Instance.ID).To(Equal("b"))
		w := want(pool, 0)
		w.Until = time.Now().Add(20 * time.Millisecond)
		_, err = d.Acquire(context.Background(), w)
		Expect(err).To(MatchError(ErrFull))
	})

	It("excludes groups that are silent to other nodes, but not plain servers", func() {
		// Guards against requests to a group that is silent to other nodes, and against
		// refusals because each plain server failed once.
		now := time.Now()
		silent := suspicion.Evidence{Hold: suspicion.Silent}.Report(0)
		d := NewDispatcher(NewTables(), &fakePeers{evidence: map[string]suspicion.Report{"a": silent.Add(silent), "c": silent}}, "", newThrottle())
		group := &Target{Instance: &engine.Instance{ID: "a"}, Pool: Pool{"llm", "m"}, Load: &Load{}}
		eligible := func(t *Target) bool { return d.isEligible(t, d.assess(t, now), now) }
		Expect(eligible(group)).To(BeFalse())
		// A single node may itself be cut off.
		group.Instance = &engine.Instance{ID: "c"}
		Expect(eligible(group)).To(BeTrue())
		group.Load.record.Failed(suspicion.Silent, now)
		Expect(eligible(group)).To(BeFalse())
		plain := &Target{Instance: &engine.Instance{ID: "a"}, Pool: Pool{Service: "desk"}, Load: group.Load}
		Expect(eligible(plain)).To(BeTrue())
	})

	It("leaks no slot under concurrent use", func() {
		// Guards against slots that leak if one is assigned while the wait is cancelled.
		tables, pool := newTables(3, 2)
		d := NewDispatcher(tables, &fakePeers{}, "", newThrottle())
		done := make(chan bool)
		for range 40 {
			go func() {
				for range 25 {
					w := want(pool, time.Millisecond)
					w.Until = time.Now().Add(rand.N(3 * time.Millisecond))
					if slot, err := d.Acquire(context.Background(), w); err == nil {
						time.Sleep(rand.N(time.Millisecond))
						slot.Release()
					}
				}
				done <- true
			}()
		}
		for range 40 {
			<-done
		}
		tables.Load().Each(func(t *Target) { Expect(t.Load.Running()).To(BeZero()) })
		Eventually(d.Waiting).Should(BeEmpty())
		Eventually(func() int {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.rechecking)
		}).Should(BeZero())
	})

	It("runs one goroutine for a pool, however often its queue empties", func() {
		// Guards against goroutines that accumulate under load.
		tables, pool := newTables(1, 1)
		d := NewDispatcher(tables, &fakePeers{}, "", newThrottle())
		held, err := d.Acquire(context.Background(), want(pool, time.Second))
		Expect(err).NotTo(HaveOccurred())
		before := runtime.NumGoroutine()
		for range 50 {
			next := make(chan *Slot)
			go func() {
				slot, err := d.Acquire(context.Background(), want(pool, time.Second))
				if err == nil {
					next <- slot
				}
			}()
			Eventually(d.Waiting, time.Second, time.Millisecond).Should(HaveLen(1))
			held.Release()
			held = <-next
		}
		Expect(runtime.NumGoroutine()).To(BeNumerically("<", before+5))
	})
})

var _ = Describe("traffic", func() {
	It("estimates the wait of late requests, without limit if demand exceeds the slots", func() {
		// Guards against callers that wait until they time out.
		var f traffic
		f.recordHoldTime(time.Second)
		Expect(f.lateWaitTime(130, 100, 10, 1)).To(Equal(never))
		Expect(f.lateWaitTime(50, 100, 10, 1)).To(Equal(200 * time.Millisecond))
		// Near full utilisation, short drops in demand leave slots for a few.
		Expect(f.lateWaitTime(100, 100, 10, 1)).To(BeNumerically("<", time.Second))
		Expect(f.lateWaitTime(100, 100, 10, 9)).To(BeNumerically(">", 2*time.Second))
	})

	It("counts callers who retry after a refusal once", func() {
		// Guards against a demand that grows because of refusals.
		var f traffic
		now := time.Now()
		f.recordHoldTime(time.Second)
		for i := range 400 {
			at := now.Add(time.Duration(i) * 10 * time.Millisecond)
			f.recordArrival(at, 0, time.Second)
			if i%2 == 0 {
				f.recordRefusal(at)
			}
		}
		// 100 attempts a second, half of them refused, are 66 requests, of which 50 hold slots.
		Expect(f.demand(now.Add(4*time.Second), 50)).To(BeNumerically("~", 66, 5))
	})
})

var _ = Describe("isRetryable", func() {
	failed := verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "no response")
	refused := verdict.New(verdict.NotRun, verdict.ReasonBackendFailed, "refused")
	full := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "full")
	call := func(kind catalog.Kind, resumable, ran bool, runs, sends int) *call {
		return &call{route: &catalog.Route{Kind: kind, Resumable: resumable, MaxAttempts: 2}, mayHaveRun: ran, runs: runs, sends: sends}
	}

	It("never repeats an unsafe request that may have run", func() {
		// Guards against a second execution, such as charging twice.
		Expect(call(catalog.Unsafe, false, true, 1, 1).isRetryable(failed)).To(BeFalse())
		Expect(call(catalog.Streaming, false, true, 1, 1).isRetryable(failed)).To(BeFalse())
		Expect(call(catalog.Unsafe, false, false, 0, 1).isRetryable(refused)).To(BeTrue())
		Expect(call(catalog.Streaming, true, true, 1, 1).isRetryable(failed)).To(BeTrue())
		Expect(call(catalog.Safe, false, true, 2, 2).isRetryable(failed)).To(BeFalse())
		Expect(call(catalog.Safe, false, false, 0, 4).isRetryable(refused)).To(BeFalse())
	})

	It("doesn't retry a request that got no slot", func() {
		// Guards against a retry budget that refusals exhaust, and against a second wait.
		Expect(call(catalog.Streaming, true, false, 0, 0).isRetryable(full)).To(BeFalse())
		Expect(call(catalog.Streaming, true, true, 1, 1).isRetryable(full)).To(BeFalse())
	})
})

var _ = Describe("stallTimeouts", func() {
	profile := &catalog.EngineProfile{Slots: 17, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 95 * time.Microsecond,
		StepsPerEvent: 5, PrefillRate: 45_900, PrefillChunk: 2048}
	route := &catalog.Route{LatencyGoal: 400 * time.Millisecond}

	It("allows for the longest step, long prompts and slow groups", func() {
		// Guards against moving streams away from groups that make progress.
		first, next := stallTimeouts(route, profile, 1, 4000)
		Expect(next).To(BeNumerically(">", 270*time.Millisecond))
		Expect(next).To(BeNumerically("<", time.Second))
		Expect(first).To(BeNumerically(">", next+150*time.Millisecond))
		_, slow := stallTimeouts(route, profile, 3, 0)
		Expect(slow).To(BeNumerically(">", 3*270*time.Millisecond))
	})
})

var _ = Describe("eventReader", func() {
	read := func(text string) (ids []string, raw string, err error) {
		r := newEventReader(io.MultiReader(strings.NewReader(text)), nil)
		defer r.release()
		for {
			e, err := r.next()
			if err != nil {
				return ids, raw, err
			}
			ids, raw = append(ids, e.id), raw+string(e.raw)
		}
	}

	It("returns complete events unchanged", func() {
		// Guards against events that are merged, changed or lost.
		text := "id: 1\ndata: a\n\nversions: 2\nid:2\r\ndata: id: 9\r\n\r\n: note\n\n"
		ids, raw, err := read(text)
		Expect(err).To(MatchError(io.EOF))
		Expect(ids).To(Equal([]string{"1", "2", ""}))
		Expect(raw).To(Equal(text))
	})

	It("doesn't return an incomplete event", func() {
		// Guards against an event made of parts of two responses.
		ids, raw, err := read("id: 1\ndata: a\n\nid: 2\ndata: b\n")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(ids).To(Equal([]string{"1"}))
		Expect(raw).To(Equal("id: 1\ndata: a\n\n"))
	})

	It("bounds the size of an event", func() {
		// Guards against an engine that exhausts the node's memory.
		_, _, err := read("data: " + strings.Repeat("x", maxEvent+eventBuffer) + "\n\n")
		Expect(err).To(MatchError(errEventTooLarge))
	})
})

// FuzzEvents checks that the forwarded events are an unchanged prefix of the stream.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", uint8(3))
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		r := newEventReader(&slowReader{strings.NewReader(text), int(size)%7 + 1}, nil)
		defer r.release()
		var passed strings.Builder
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			passed.Write(e.raw)
		}
		if !strings.HasPrefix(text, passed.String()) {
			t.Fatalf("passed %q of %q", passed.String(), text)
		}
	})
}

// slowReader returns at most size bytes per read.
type slowReader struct {
	io.Reader
	size int
}

func (r *slowReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.size)]) }
