package measure

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/peer"
)

// Durations of the dissemination measurement.
const (
	settleLimit   = 5 * time.Second
	trafficWindow = 3 * time.Second
	lossSettle    = 3500 * time.Millisecond
	idleWindow    = 500 * time.Millisecond
	eventLimit    = 5 * time.Second
	deathLimit    = 14 * time.Second
	freezeTime    = 2 * time.Second
	freezeWatch   = 2 * time.Second
	// rootFreezeTime exceeds the time after which a member is suspect.
	rootFreezeTime = 6 * time.Second
)

// Cluster sizes: full mesh and relay tree. Announcements go to all members, so 80
// nodes in one process, or 64 with events, need more than the 20,000 files that it
// may open here.
var (
	meshSizes  = []int{3, 9, 16}
	treeSizes  = []int{32, 48, 64}
	eventSizes = []int{3, 9, 16, 32}
)

// dissemination measures what the control part of a node costs and how fast
// events reach every node.
func dissemination() Measurement {
	return Measurement{Name: "dissemination", Run: func(ctx context.Context, _ uint64, emit Emit) error {
		costs := make(map[string][]point)
		for _, nodes := range append(append([]int{}, meshSizes...), treeSizes...) {
			if err := measureCosts(ctx, nodes, costs, emit); err != nil {
				return err
			}
		}
		fitCosts(costs, emit)
		return measureEvents(ctx, emit)
	}}
}

// policyOf names the exchange that a number of nodes uses.
func policyOf(nodes int) string {
	if nodes <= peer.FullMeshMembers {
		return "full mesh"
	}
	return "tree"
}

// sum adds a counter over all nodes.
func (c *cluster) sum(counters ...string) (total float64) {
	for _, n := range c.nodes {
		for _, name := range counters {
			total += n.counter(name)
		}
	}
	return total
}

// cost is one measured cost of a node.
type cost struct {
	name, unit string
	value      float64
}

// measureCosts emits bytes, processor time and memory a node.
func measureCosts(ctx context.Context, nodes int, costs map[string][]point, emit Emit) error {
	before := memoryInUse()
	idleFrom := cpuTime()
	time.Sleep(idleWindow)
	idle := (cpuTime() - idleFrom).Seconds() / idleWindow.Seconds()
	c, err := startCluster(ctx, nodes)
	if err != nil {
		return err
	}
	defer c.close()
	policy, at := policyOf(nodes), fmt.Sprintf("%d nodes", nodes)
	settled, ok := c.settle(settleLimit)
	emit(policy, at+", time until all know each other, at most 5 s, ok="+fmt.Sprint(ok), settled.Seconds(), "s")
	time.Sleep(time.Second)
	names := []string{peer.MetricBytesSent, peer.MetricBytesReceived, "backend.engine.control.sent", "backend.engine.control.received"}
	counters := make([]float64, len(names))
	for i, name := range names {
		counters[i] = c.sum(name)
	}
	probes, cpu, started := c.sum("health.probes"), cpuTime(), time.Now()
	time.Sleep(trafficWindow)
	seconds, used := time.Since(started).Seconds(), (cpuTime() - cpu).Seconds()
	perNode := seconds * float64(nodes)
	found := []cost{
		{"peer bytes sent", "B/s", (c.sum(names[0]) - counters[0]) / perNode},
		{"peer bytes received", "B/s", (c.sum(names[1]) - counters[1]) / perNode},
		{"probe bytes sent", "B/s", (c.sum(names[2]) - counters[2]) / perNode},
		{"probe bytes received", "B/s", (c.sum(names[3]) - counters[3]) / perNode},
		{"probes", "1/s", (c.sum("health.probes") - probes) / perNode},
		{"processor", "% of a core", 100 * (used - idle*seconds) / perNode},
	}
	members, evidence := c.coverage()
	emit(policy, at+", members seen as serving", 100*members, "%")
	emit(policy, at+", instances with fresh evidence", 100*evidence, "%")
	found = append(found, cost{"memory", "B", (memoryInUse() - before) / float64(nodes)})
	for _, f := range found {
		emit(policy, at+", "+f.name+" a node", f.value, f.unit)
		key := policy + "/" + f.name + "/" + f.unit
		costs[key] = append(costs[key], point{float64(nodes), f.value})
	}
	return nil
}

// fitCosts emits the slopes over the nodes and the value at the design point.
// Probes are left out: their number a node depends on the engines, and
// "capacity" gives their cost.
func fitCosts(costs map[string][]point, emit Emit) {
	for _, policy := range []string{"full mesh", "tree"} {
		for _, name := range []string{"peer bytes sent/B/s", "peer bytes received/B/s", "processor/% of a core", "memory/B"} {
			what, unit, _ := strings.Cut(name, "/")
			emitLine(emit, policy, what+" a node", costs[policy+"/"+name], designNodes, unit, "node", "380 nodes")
		}
	}
}

// measureEvents takes clusters of all sizes through the events at the same time.
func measureEvents(ctx context.Context, emit Emit) error {
	var mu sync.Mutex
	locked := func(policy, name string, value float64, unit string) {
		mu.Lock()
		defer mu.Unlock()
		emit(policy, name, value, unit)
	}
	errs := make([]error, len(eventSizes))
	var all sync.WaitGroup
	for i, nodes := range eventSizes {
		all.Go(func() { errs[i] = measureEventsAt(ctx, nodes, locked) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
