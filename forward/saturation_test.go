package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/rendezvous"
	"github.com/rattanlanding/rattanlanding/suspicion"
)

// saturation is a deployment whose groups are nearly full: each node has a Dispatcher of
// its own and knows the load of the other nodes by reports that arrive late.
type saturation struct {
	rng   *rand.Rand
	nodes []*saturatedNode
	pool  Pool
	// engines hold a token for each request that runs; the others wait in order.
	engines map[string]chan struct{}
	ids     []string
}

// saturatedNode is a node and its view of the others.
type saturatedNode struct {
	name       string
	dispatcher *Dispatcher
	tables     *Tables
	others     atomic.Pointer[othersReport]
	nodes      int
}

// othersReport is the sum of the states that other nodes have reported.
type othersReport struct {
	running map[string]int
	waiting []string
	demand  float64
	// arrivals is the number of requests per second.
	arrivals float64
	evidence map[string]suspicion.Report
}

func (n *saturatedNode) Running(instance string) int        { return n.others.Load().running[instance] }
func (n *saturatedNode) Progress(string) bool               { return true }
func (n *saturatedNode) Demand(string) float64              { return n.others.Load().demand }
func (n *saturatedNode) ArrivalRate(string, string) float64 { return n.others.Load().arrivals }
func (n *saturatedNode) Nodes() int                         { return n.nodes }
func (n *saturatedNode) ReportAge() time.Duration           { return reportInterval + reportDelay/2 }
func (n *saturatedNode) Evidence(instance string) suspicion.Report {
	return n.others.Load().evidence[instance]
}
func (n *saturatedNode) Ahead(_, instance string) int {
	ahead := 0
	for _, other := range n.others.Load().waiting {
		if rendezvous.Score(instance, other) > rendezvous.Score(instance, n.name) {
			ahead++
		}
	}
	return ahead
}

func newSaturation(nodes, groups, slots int) *saturation {
	s := &saturation{rng: rand.New(rand.NewPCG(3, 4)), pool: Pool{Service: "llm", Model: "m"}, engines: map[string]chan struct{}{}}
	configuration := (&catalog.Configuration{Services: []catalog.Service{{Name: "llm",
		Engine: &catalog.EngineProfile{Slots: slots, Models: []catalog.Model{{Name: "m", Size: 1, TimeFactor: 1}}}}}}).Index()
	var instances []*engine.Instance
	for i := range groups {
		id := fmt.Sprint("i-", i)
		s.ids = append(s.ids, id)
		s.engines[id] = make(chan struct{}, slots)
		instances = append(instances, &engine.Instance{ID: id, Service: "llm", Slots: slots, FabricDomain: "f", Model: "m",
			Membership: engine.Membership{Group: fmt.Sprint("g", i), Epoch: 1, Phase: engine.Open}})
	}
	for i := range nodes {
		n := &saturatedNode{name: fmt.Sprint("node-", i), tables: NewTables(), nodes: nodes}
		n.others.Store(&othersReport{})
		n.tables.Build(configuration, engine.NewRoster(instances))
		n.dispatcher = NewDispatcher(n.tables, n, "z", newThrottle())
		s.nodes = append(s.nodes, n)
	}
	return s
}

// Times of the reports, as of nodes that exchange their states over aggregators.
const (
	reportInterval = 150 * time.Millisecond
	reportDelay    = 150 * time.Millisecond
)

// report delivers the sum of all states to every node after a delay, at an interval.
func (s *saturation) report(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(reportInterval) {
		var views []*othersReport
		demands, arrivals := map[*saturatedNode]float64{}, map[*saturatedNode]float64{}
		for _, n := range s.nodes {
			demands[n], arrivals[n] = n.dispatcher.Demand()[s.pool], n.dispatcher.ArrivalRates()[s.pool]
		}
		for _, n := range s.nodes {
			view := &othersReport{running: map[string]int{}}
			for _, other := range s.nodes {
				if other == n {
					continue
				}
				for _, t := range other.tables.Load().Targets(s.pool) {
					view.running[t.Instance.ID] += t.Load.Running()
				}
				if other.dispatcher.Waiting()[s.pool] > 0 {
					view.waiting = append(view.waiting, other.name)
				}
				view.demand += demands[other]
				view.arrivals += arrivals[other]
			}
			views = append(views, view)
		}
		time.AfterFunc(reportDelay, func() {
			for i, n := range s.nodes {
				n.others.Store(views[i])
			}
		})
	}
}

// play sends requests at a rate that occupies the given fraction of all slots, and
// returns the time that each one waited before an engine ran it, in order.
func (s *saturation) play(load float64, slots int, service, duration time.Duration) []time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.report(ctx)
	between := float64(service) / (load * float64(slots*len(s.ids)))
	waits := make(chan time.Duration, 1<<16)
	var requests sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Duration(s.rng.ExpFloat64() * between)) {
		n, runs := s.nodes[s.rng.IntN(len(s.nodes))], time.Duration((0.5+s.rng.Float64())*float64(service))
		settled := time.Until(end) < duration-4*time.Second
		requests.Go(func() {
			arrived := time.Now()
			slot, err := n.dispatcher.Acquire(ctx, SlotRequest{Pool: s.pool, GoalAt: arrived.Add(300 * time.Millisecond), Until: arrived.Add(1600 * time.Millisecond)})
			if err != nil {
				if settled {
					waits <- time.Since(arrived) + time.Second
				}
				return
			}
			s.engines[slot.Instance.ID] <- struct{}{}
			if settled {
				waits <- time.Since(arrived)
			}
			time.Sleep(runs)
			<-s.engines[slot.Instance.ID]
			slot.Release()
		})
	}
	cancel()
	requests.Wait()
	close(waits)
	var list []time.Duration
	for w := range waits {
		list = append(list, w)
	}
	slices.Sort(list)
	return list
}

// Guards against requests that wait at one group while others have free slots, because
// all nodes send to the few groups that their outdated reports show as free.
func TestNearlyFullGroupsAreFilledEvenly(t *testing.T) {
	for _, test := range []struct {
		nodes, groups, slots int
		load                 float64
		p75, p95             time.Duration
	}{
		// Responses are on time if they start within 300 ms.
		{74, 11, 48, 0.85, 0, 300 * time.Millisecond},
		{74, 11, 48, 0.97, 300 * time.Millisecond, 600 * time.Millisecond},
		{9, 12, 17, 0.85, 0, 300 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			waits := newSaturation(test.nodes, test.groups, test.slots).play(test.load, test.slots, 1500*time.Millisecond, 12*time.Second)
			at := func(p float64) time.Duration { return waits[int(p*float64(len(waits)))] }
			t.Logf("%d nodes, load %.2f: %d requests waited %v, %v, %v (75, 95, 99 %%)", test.nodes, test.load, len(waits), at(0.75), at(0.95), at(0.99))
			g.Expect(at(0.75)).To(BeNumerically("<=", test.p75))
			g.Expect(at(0.95)).To(BeNumerically("<=", test.p95))
		})
	}
}
