package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

const (
	coldRate      = 26.0
	coldOverage   = 1.5
	coldAllowance = 5.0
	coldTime      = 3 * time.Second
	// plays is the number of seeds of each load.
	plays = 10
)

func newColdRegistry(c *clock) *Registry {
	return NewRegistry(Config{Now: func() time.Time { return c.at }, ColdOverage: coldOverage, ColdAllowance: coldAllowance}, log.NewNopLogger(), metrics.NewRegistry())
}

// domainReturn is the load that follows the return of a failure domain: its servers are cold,
// and requests that wait at all nodes turn to them.
type domainReturn struct {
	nodes int
	// seen returns how many nodes a node sees.
	seen func(node int) int
	// calls is the number of times per second that each node looks for a free server.
	calls float64
	// quiet is the time before the return in which no node looked.
	quiet time.Duration
}

// play returns the largest number of requests that a cold server gets in a second, and the
// number in all.
func (d domainReturn) play(seed uint64) (most, total int) {
	random := rand.New(rand.NewPCG(seed, seed))
	c := &clock{time.Unix(1e9, 0)}
	var registries []*Registry
	for range d.nodes {
		registries = append(registries, newColdRegistry(c))
	}
	c.advance(time.Minute)
	cold := map[Server]Cold{1: {Rate: coldRate, Until: c.at.Add(d.quiet + coldTime)}}
	for i, r := range registries {
		r.nodes.hold(d.nodes, c.at)
		r.SetCold(cold)
		r.Allowance(1, Demand{Nodes: d.seen(i)})
	}
	c.advance(d.quiet)
	var sent []time.Time
	const step = 5 * time.Millisecond
	for range coldTime / step {
		for i, r := range registries {
			if random.Float64() >= d.calls*step.Seconds() {
				continue
			}
			if a := r.Allowance(1, Demand{Nodes: d.seen(i)}); a.Limited && a.Permits >= 1 {
				r.Use(1)
				sent = append(sent, c.at)
			}
		}
		c.advance(step)
	}
	for i, at := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other.Sub(at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most, len(sent)
}

// Guards against cold servers that crash because all nodes turn to them when their domain
// returns (FAILBACK), and against servers that get next to nothing.
func TestColdServersAreNotFlooded(t *testing.T) {
	all := func(n int) func(int) int { return func(int) int { return n } }
	for name, d := range map[string]domainReturn{
		"one node":                      {nodes: 1, seen: all(1), calls: 200},
		"two nodes":                     {nodes: 2, seen: all(2), calls: 200},
		"63 nodes under shortage":       {nodes: 63, seen: all(63), calls: 200},
		"63 nodes with little traffic":  {nodes: 63, seen: all(63), calls: 5},
		"63 nodes after a quiet second": {nodes: 63, seen: all(63), calls: 200, quiet: time.Second},
		"300 nodes":                     {nodes: 300, seen: all(300), calls: 100},
		"half cut from the other half":  {nodes: 63, seen: func(i int) int { return 31 + i%2 }, calls: 200},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			total := 0
			for seed := range uint64(plays) {
				most, sent := d.play(seed)
				g.Expect(most).To(BeNumerically("<=", coldRate*coldOverage+coldAllowance), "seed %d", seed)
				total += sent
			}
			if d.calls >= 100 {
				g.Expect(total).To(BeNumerically(">=", plays*coldTime.Seconds()*coldRate/2), "requests in %v", plays*coldTime)
			}
		})
	}
}

// Guards against a limit that outlasts the cold time, applies to another start, or replaces a
// lower one that the server states.
func TestColdLimitEndsAndCombines(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r := newColdRegistry(c)
	c.advance(time.Minute)
	r.SetCold(map[Server]Cold{1: {Rate: coldRate, Until: c.at.Add(coldTime)}})
	_, limited2 := r.Rate(2)
	g.Expect(limited2).To(BeFalse(), "another start")
	rate, limited1 := r.Rate(1)
	g.Expect(limited1).To(BeTrue())
	g.Expect(rate).To(BeNumerically("<=", coldRate))
	r.Observe(1, limited(2), c.at)
	a := r.Allowance(1, Demand{Share: 0.5, Rate: 9, Nodes: 2})
	g.Expect(a.Rate).To(Equal(2.0))
	g.Expect(a.NodeRate).To(Equal(1.0))
	r.Observe(1, limited(500), c.at.Add(time.Millisecond))
	a = r.Allowance(1, Demand{Share: 0.5, Rate: 9, Nodes: 2})
	g.Expect(a.Rate).To(Equal(rate))
	c.advance(coldTime)
	a = r.Allowance(1, Demand{Share: 0.5, Rate: 9, Nodes: 2})
	g.Expect(a.Rate).To(Equal(500.0))
	r.SetCold(nil)
	g.Expect(r.coldCount.Load()).To(BeZero())
}

// Guards against nodes that start together, don't know of each other yet and each take the
// whole rate of a cold server.
func TestNodesThatJustStartedSendNothingToColdServers(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1e9, 0)}
	r := newColdRegistry(c)
	r.SetCold(map[Server]Cold{1: {Rate: coldRate, Until: c.at.Add(time.Minute)}})
	for range 19 {
		c.advance(100 * time.Millisecond)
		g.Expect(r.Allowance(1, Demand{Nodes: 1})).To(And(HaveField("Limited", true), HaveField("Permits", BeNumerically("<", 1))))
	}
	c.advance(time.Second)
	g.Expect(r.Allowance(1, Demand{Nodes: 1}).Permits).To(BeNumerically("<", 1), "a node that met no other")
	r.Allowance(1, Demand{Nodes: 2})
	c.advance(time.Second)
	g.Expect(r.Allowance(1, Demand{Nodes: 2}).Permits).To(BeNumerically(">=", 1))
}
