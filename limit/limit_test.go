package limit

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// peerDemandOf returns the demand of nodes b, c, ... for organisation "acme".
func peerDemandOf(receivedAt time.Time, tokens ...float64) *blackboard.Demand {
	d := &blackboard.Demand{ByNode: make(map[string]blackboard.NodeDemand)}
	for i, t := range tokens {
		name := string(rune('b' + i))
		d.ByNode[name] = blackboard.NodeDemand{
			ReceivedAt:      receivedAt,
			TokensPerSecond: map[string]float64{"acme": t},
		}
	}
	return d
}

var _ = Describe("ProportionalShare", func() {
	share := func(local float64, members int, demand *blackboard.Demand) float64 {
		return ProportionalShare{}.Share(ShareInput{
			Self: "a", Organisation: "acme", Members: members, Demand: demand,
			LocalDemand: local, Now: start, DemandLifetime: 5 * time.Second,
		})
	}

	It("gives nearly the whole limit to the only node with demand", func() {
		// Guards against refusing requests of an organisation that uses only one
		// node.
		Expect(share(100, 3, peerDemandOf(start, 0, 0))).To(BeNumerically(">", 0.9))
	})

	It("falls back to the equal share without fresh demand of any peer", func() {
		// Guards against three isolated nodes granting three times the limit.
		Expect(share(100, 3, nil)).To(BeNumerically("~", 1.0/3, 1e-9))
		Expect(share(100, 3, peerDemandOf(start.Add(-time.Minute), 0, 0))).To(BeNumerically("~", 1.0/3, 1e-9))
	})

	DescribeTable("never grants more than the limit in total",
		func(demands []float64) {
			// Guards against exceeding the limit when all nodes have received the
			// same demand.
			total := 0.0
			for i := range demands {
				others := append(append([]float64{}, demands[:i]...), demands[i+1:]...)
				total += share(demands[i], len(demands), peerDemandOf(start, others...))
			}
			Expect(total).To(BeNumerically("<=", 1+1e-9))
		},
		Entry("no demand", []float64{0, 0, 0}),
		Entry("one node", []float64{50, 0, 0}),
		Entry("uneven", []float64{500, 20, 1}),
	)

	It("leaves the equal shares of members without fresh demand unused", func() {
		// Guards against two sides of a partition using the limit twice.
		half := share(10, 4, peerDemandOf(start, 10))
		Expect(2 * half).To(BeNumerically("<=", 0.5+1e-9))
	})
})

var _ = Describe("Limiter", func() {
	It("refuses requests above the limit as not run, with the time after which they are admitted", func() {
		// Guards against refusals with a wrong retry time.
		board := &blackboard.Board{}
		board.Configuration.Publish(&fleet.Configuration{Organisations: []fleet.Organisation{
			{Name: "acme", TokensPerSecond: 100},
		}})
		now := start
		l := NewLimiter(board, Config{Now: func() time.Time { return now }}, metrics.NewRegistry())
		l.Update()

		_, err := l.Admit(context.Background(), "acme", "llm", 300, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Admit(context.Background(), "acme", "llm", 1, 0)
		refusal := verdict.Of(err)
		Expect(refusal.Verdict).To(Equal(verdict.NotRun))
		Expect(refusal.RetryAfter).To(BeNumerically(">", time.Second))

		now = now.Add(refusal.RetryAfter)
		_, err = l.Admit(context.Background(), "acme", "llm", 1, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refunds unused tokens", func() {
		// Guards against charging the requested maximum instead of the actual
		// use.
		b := newBucket(10, 20, start)
		_, ok := b.take(20, start)
		Expect(ok).To(BeTrue())
		(&Admission{bucket: b, taken: 20}).Done(5)
		_, ok = b.take(1, start)
		Expect(ok).To(BeTrue())
	})
})

// fixedWait is a WaitSource that returns the same wait for all services.
type fixedWait struct{ wait time.Duration }

func (f *fixedWait) EstimatedWait(string) (time.Duration, bool) { return f.wait, true }

var _ = Describe("Shedding", func() {
	var (
		waits    *fixedWait
		now      time.Time
		l        *Limiter
		admitted map[string]float64
	)
	// offer sends requests of both organisations for the given seconds, ten times
	// a second.
	offer := func(seconds int, greedy, small int) {
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			for range greedy {
				if _, err := l.Admit(context.Background(), "greedy", "llm", 100, 0); err == nil {
					admitted["greedy"]++
				}
			}
			for range small {
				if _, err := l.Admit(context.Background(), "small", "llm", 100, 0); err == nil {
					admitted["small"]++
				}
			}
			l.Update()
		}
	}
	BeforeEach(func() {
		waits, now, admitted = &fixedWait{}, start, make(map[string]float64)
		board := &blackboard.Board{}
		board.Configuration.Publish(&fleet.Configuration{
			Services:      []fleet.Service{{Name: "llm", Kind: fleet.KindModel}},
			Organisations: []fleet.Organisation{{Name: "greedy"}, {Name: "small", Weight: 1}},
		})
		l = NewLimiter(board, Config{Waits: waits, Now: func() time.Time { return now }}, metrics.NewRegistry())
		l.Update()
	})

	It("admits everything while the wait is short", func() {
		// Guards against shedding without overload.
		offer(20, 9, 1)
		Expect(admitted).To(Equal(map[string]float64{"greedy": 1800, "small": 200}))
	})

	It("sheds only requests of the organisation above its share", func() {
		// Guards against one organisation that takes the capacity of the others.
		offer(10, 9, 1)
		waits.wait = 1500 * time.Millisecond
		admitted = make(map[string]float64)
		offer(10, 9, 1)
		Expect(admitted["small"]).To(BeNumerically(">=", 99))
		Expect(admitted["greedy"]).To(BeNumerically("<", 800))
	})

	It("sheds requests as not run with a retry time, and admits requests with priority first", func() {
		// Guards against a shed request that may have run or is to be retried at
		// once, and against shedding requests with priority like others.
		offer(10, 9, 0)
		waits.wait = 5 * time.Second
		offer(10, 9, 0)
		var refusal *verdict.Error
		for range 20 {
			if _, err := l.Admit(context.Background(), "greedy", "llm", 100, 0); err != nil {
				refusal = verdict.Of(err)
				break
			}
		}
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Verdict).To(Equal(verdict.NotRun))
		Expect(refusal.Reason).To(Equal(verdict.ReasonOverloaded))
		Expect(refusal.RetryAfter).To(BeNumerically(">=", time.Second))
		_, err := l.Admit(context.Background(), "greedy", "llm", 100, 1)
		Expect(err).NotTo(HaveOccurred())
	})

	It("sheds a request whose deadline is earlier than the end of the wait", func() {
		// Guards against running requests whose clients no longer wait.
		waits.wait = 400 * time.Millisecond
		l.Update()
		ctx, cancel := context.WithDeadline(context.Background(), now.Add(300*time.Millisecond))
		defer cancel()
		_, err := l.Admit(ctx, "small", "llm", 100, 1)
		Expect(verdict.Of(err).Verdict).To(Equal(verdict.NotRun))
	})
})
