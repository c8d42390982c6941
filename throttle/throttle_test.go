package throttle

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// clock is a clock that tests advance.
type clock struct{ at time.Time }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newTestRegistry(c *clock) *Registry {
	return NewRegistry(Config{Now: func() time.Time { return c.at }, Random: func() float64 { return 0.5 }}, log.NewNopLogger(), metrics.NewRegistry())
}

func limited(rate float64) Statement { return Statement{Limited: true, Rate: rate} }

// rate returns the rate that applies to a server, or a negative number without a limit. It
// ignores the rise after the end of a limit.
func (r *Registry) statedRate(key Server) float64 {
	if s := r.servers[key]; s != nil && s.limited {
		return s.rate
	}
	return -1
}

// Guards against a late response that ends a limit, or replaces a lower one, although its
// request was sent before.
func TestOrdersStatementsByTheirRequests(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r := newTestRegistry(c)
	r.Observe(1, Statement{}, c.at)
	g.Expect(r.Empty()).To(BeTrue())
	early := c.at
	c.advance(time.Second)
	late := c.at
	c.advance(time.Second)
	r.Observe(1, limited(2), late)
	r.Observe(1, Statement{}, late)
	g.Expect(r.statedRate(1)).To(Equal(2.0))
	r.Observe(1, limited(9), early)
	g.Expect(r.statedRate(1)).To(Equal(2.0))
	r.Observe(1, limited(1), early)
	g.Expect(r.statedRate(1)).To(Equal(1.0))
	c.advance(time.Second)
	r.Observe(1, Statement{Incomplete: true}, c.at.Add(-time.Millisecond))
	g.Expect(r.statedRate(1)).To(Equal(1.0), "after a value that can't be decoded")
	r.Observe(1, limited(7), c.at.Add(-time.Millisecond))
	g.Expect(r.statedRate(1)).To(Equal(7.0))
	c.advance(time.Second)
	r.Observe(1, Statement{}, c.at.Add(-time.Millisecond))
	g.Expect(r.statedRate(1)).To(BeNumerically("<", 0))
}

// Guards against notices that arrive out of order, come back from other nodes or are
// invalid.
func TestAbsorbsTheNewestNotice(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r := newTestRegistry(c)
	r.Absorb([]Notice{{Server: 1, Rate: 3}, {Server: 2, Limited: true, Rate: float32(math.NaN())}, {Server: 3, Limited: true, Rate: -1}})
	g.Expect(r.Empty()).To(BeTrue())
	r.Absorb([]Notice{{Server: 1, Limited: true, Rate: 3, AgeMs: 500}})
	g.Expect(r.statedRate(1)).To(Equal(3.0))
	r.Absorb([]Notice{{Server: 1, Limited: true, Rate: 8, AgeMs: 900}, {Server: 1, AgeMs: 600}})
	g.Expect(r.statedRate(1)).To(Equal(3.0))
	r.Absorb([]Notice{{Server: 1, AgeMs: 100}})
	g.Expect(r.statedRate(1)).To(BeNumerically("<", 0))
	r.Absorb([]Notice{{Server: 1, Limited: true, Rate: 3, AgeMs: 450}})
	g.Expect(r.statedRate(1)).To(BeNumerically("<", 0))
}

// Guards against messages and state that grow without bound, and against a restarted node
// that doesn't learn limits that are old.
func TestReportsAreBoundedAndComplete(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r, other := newTestRegistry(c), newTestRegistry(c)
	for i := range Server(3 * maxServers) {
		r.Observe(i, limited(2), c.at)
	}
	g.Expect(r.servers).To(HaveLen(maxServers))
	c.advance(time.Minute)
	for i := 0; i < maxServers/MaxNotices+1; i++ {
		notices := r.Report()
		g.Expect(len(notices)).To(BeNumerically("<=", MaxNotices))
		other.Absorb(notices)
	}
	g.Expect(other.servers).To(HaveLen(maxServers))
	r.SetListed(map[Server]string{7: "i-7"})
	c.advance(keepUnlisted + time.Second)
	r.SetListed(map[Server]string{7: "i-7"})
	g.Expect(r.servers).To(HaveLen(1))
}

// Guards against a server without requests, which can't state that it has recovered, and
// against a jump of the rate when it does.
func TestRateOfAServerThatRecovers(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r := newTestRegistry(c)
	r.Observe(1, limited(0), c.at)
	rate, _ := r.Rate(1)
	g.Expect(rate).To(Equal(minRate))
	c.advance(time.Second)
	r.Observe(1, Statement{}, c.at)
	before, limited := r.Rate(1)
	g.Expect(limited).To(BeTrue())
	c.advance(rampDoubling)
	after, _ := r.Rate(1)
	g.Expect(after).To(BeNumerically("~", 2*before))
	c.advance(rampTime)
	_, limited = r.Rate(1)
	g.Expect(limited).To(BeFalse())
}

// Guards against permits that accumulate while a node doesn't use them.
func TestPermitsExpire(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r := newTestRegistry(c)
	r.Observe(1, limited(0.5), c.at)
	demand := Demand{Share: 1, Rate: 10}
	most := 0.0
	for range 100 {
		c.advance(100 * time.Millisecond)
		most = max(most, r.Allowance(1, demand).Permits)
	}
	g.Expect(most).To(Equal(1.0))
	var sum float64
	for range 600 {
		c.advance(100 * time.Millisecond)
		if r.Allowance(1, demand).Permits >= 1 {
			r.Use(1)
			sum++
		}
	}
	g.Expect(sum).To(BeNumerically("~", 30, 2), "permits used in a minute")
	c.advance(time.Hour)
	g.Expect(r.Allowance(1, demand).Permits).To(BeNumerically("<=", 1))
}

// Guards against a server that leaves and gets requests from nodes that it didn't tell, and
// against another start of it that counts as leaving.
func TestLearnsThatAServerLeaves(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r, other := newTestRegistry(c), newTestRegistry(c)
	changed, otherChanged := r.Changed(), other.Changed()
	r.Observe(ServerOf("a", 1), Statement{Leaving: true}, c.at)
	g.Expect(changed).To(BeClosed())
	other.Absorb(r.Report())
	g.Expect(otherChanged).To(BeClosed())
	c.advance(time.Second)
	r.Observe(ServerOf("a", 1), Statement{}, c.at)
	for _, registry := range []*Registry{r, other} {
		g.Expect(registry.Leaving(ServerOf("a", 1))).To(BeTrue())
		g.Expect(registry.Leaving(ServerOf("a", 2))).To(BeFalse())
		_, limited := registry.Rate(ServerOf("a", 1))
		g.Expect(limited).To(BeFalse())
	}
}

// Guards against a time without requests that is shortened by a later response, without
// bound, or passed on to nodes that weren't told.
func TestHoldsRequestsBack(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r, other := newTestRegistry(c), newTestRegistry(c)
	r.Observe(1, Statement{RetryAfter: 4 * time.Second}, c.at)
	r.Observe(1, Statement{RetryAfter: time.Second}, c.at)
	r.Observe(1, Statement{}, c.at)
	g.Expect(r.Allowance(1, Demand{}).HeldUntil).To(Equal(c.at.Add(4 * time.Second)))
	r.Observe(2, Statement{RetryAfter: 1000 * time.Hour}, c.at)
	g.Expect(r.Allowance(2, Demand{}).HeldUntil).To(Equal(c.at.Add(MaxRetryAfter)))
	g.Expect(r.Allowance(3, Demand{}).HeldUntil).To(BeZero())
	r.SetListed(map[Server]string{1: "a", 2: "b"})
	g.Expect(r.servers).To(HaveLen(2))
	c.advance(5 * time.Second)
	r.SetListed(map[Server]string{1: "a", 2: "b"})
	g.Expect(r.Allowance(1, Demand{}).HeldUntil).To(BeZero(), "forgotten")
	other.Absorb(r.Report())
	g.Expect(other.Allowance(1, Demand{}).HeldUntil).To(BeZero())
}

// Guards against a rate of zero that counts as changed with each response, so that each node
// logs it and tells all others in each round.
func TestARateOfZeroIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r := newTestRegistry(c)
	r.Observe(1, limited(0), c.at)
	c.advance(changeReportTime + time.Millisecond)
	g.Expect(r.Report()).To(HaveLen(1))
	c.advance(reportInterval / 2)
	r.Observe(1, limited(0), c.at)
	g.Expect(r.Report()).To(BeEmpty())
	r.Observe(1, limited(3), c.at)
	g.Expect(r.Report()).To(HaveLen(1))
}

// Guards against permits that are lost at nodes of large deployments, whose rounds are far
// apart.
func TestPermitsAccumulateBetweenRoundsThatAreFarApart(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r := newTestRegistry(c)
	r.Observe(1, limited(2), c.at)
	used := 0
	for range 240 {
		c.advance(500 * time.Millisecond)
		if r.Allowance(1, Demand{Share: 0.25, Rate: 1}).Permits >= 1 {
			r.Use(1)
			used++
		}
	}
	g.Expect(used).To(BeNumerically("~", 60, 2), "permits used in two minutes")
}

// Guards against logs that state the rate 2.4 of another node as 2.4000000953674316.
func TestLogsRatesOfOtherNodesAsStated(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	r := NewRegistry(Config{}, log.NewLogfmtLogger(&out), metrics.NewRegistry())
	r.Absorb([]Notice{{Server: 1, Limited: true, Rate: 2.4}})
	r.Absorb([]Notice{{Server: 2, Limited: true, Rate: 0.1}})
	g.Expect(out.String()).To(And(ContainSubstring("per_second=2.4 "), ContainSubstring("per_second=0.1 ")))
	rate, limited := r.Rate(1)
	g.Expect(limited).To(BeTrue())
	g.Expect(rate).To(Equal(2.4))
}

// Guards against a server that has recovered and gets no request by which to state so, as the
// permits of all nodes come due at the same time.
func TestAServerWithALowRateIsAskedAgainInTime(t *testing.T) {
	const nodes, latest = 9, 8 * time.Second
	for seed := range uint64(500) {
		g := NewWithT(t)
		c := &clock{time.Unix(1e9, 0)}
		stated, rng := c.at, rand.New(rand.NewPCG(seed, 1))
		registries := make([]*Registry, nodes)
		for i := range registries {
			registries[i] = NewRegistry(Config{Now: func() time.Time { return c.at }, Random: rng.Float64}, log.NewNopLogger(), metrics.NewRegistry())
			registries[i].Observe(1, limited(0), c.at)
		}
		asked := false
		for !asked && c.at.Sub(stated) < time.Minute {
			c.advance(100 * time.Millisecond)
			for _, r := range registries {
				asked = asked || r.Allowance(1, Demand{Share: 1.0 / nodes, Rate: 7}).Permits >= 1
			}
		}
		g.Expect(c.at.Sub(stated)).To(BeNumerically("<=", latest), "time until a node may send a request, seed %d", seed)
	}
}
