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
	settleTimeout   = 5 * time.Second
	trafficWindow   = 3 * time.Second
	lossSettleTime  = 3500 * time.Millisecond
	idleWindow      = 500 * time.Millisecond
	eventTimeout    = 5 * time.Second
	deathTimeout    = 14 * time.Second
	freezeDuration  = 2 * time.Second
	thawObservation = 2 * time.Second
	// rootFreezeDuration exceeds the time after which a silent member is suspect.
	rootFreezeDuration = 6 * time.Second
)

// Numbers of nodes for the full mesh, the relay tree and the events. Announcements go
// to all members, so 80 nodes in one process, or 64 with events, need more than the
// 20,000 files that a process may open here.
var (
	meshSizes  = []int{3, 9, 16}
	treeSizes  = []int{32, 48, 64}
	eventSizes = []int{3, 9, 16, 32}
)

// dissemination measures the cost of a node's controllers and the time until events
// have reached every node.
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

// exchangePolicy returns the name of the peer exchange that a number of nodes uses.
func exchangePolicy(nodes int) string {
	if nodes <= peer.FullMeshMembers {
		return "full mesh"
	}
	return "tree"
}

// sumCounters returns the sum of the counters over all nodes.
func (c *cluster) sumCounters(counters ...string) (total float64) {
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

// measureCosts emits bytes, processor time and memory per node.
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
	policy, at := exchangePolicy(nodes), fmt.Sprintf("%d nodes", nodes)
	settled, ok := c.waitSettled(settleTimeout)
	emit(policy, at+", time until all know each other, at most 5 s, ok="+fmt.Sprint(ok), settled.Seconds(), "s")
	time.Sleep(time.Second)
	names := []string{peer.MetricBytesSent, peer.MetricBytesReceived, "backend.engine.control.sent", "backend.engine.control.received"}
	counters := make([]float64, len(names))
	for i, name := range names {
		counters[i] = c.sumCounters(name)
	}
	probes, cpu, started := c.sumCounters("health.probes"), cpuTime(), time.Now()
	time.Sleep(trafficWindow)
	seconds, used := time.Since(started).Seconds(), (cpuTime() - cpu).Seconds()
	perNode := seconds * float64(nodes)
	measured := []cost{
		{"peer bytes sent", "B/s", (c.sumCounters(names[0]) - counters[0]) / perNode},
		{"peer bytes received", "B/s", (c.sumCounters(names[1]) - counters[1]) / perNode},
		{"probe bytes sent", "B/s", (c.sumCounters(names[2]) - counters[2]) / perNode},
		{"probe bytes received", "B/s", (c.sumCounters(names[3]) - counters[3]) / perNode},
		{"probes", "1/s", (c.sumCounters("health.probes") - probes) / perNode},
		{"processor", "% of a core", 100 * (used - idle*seconds) / perNode},
	}
	members, evidence := c.coverage()
	emit(policy, at+", members seen as serving", 100*members, "%")
	emit(policy, at+", instances with fresh evidence", 100*evidence, "%")
	measured = append(measured, cost{"memory", "B", (memoryInUse() - before) / float64(nodes)})
	for _, f := range measured {
		emit(policy, at+", "+f.name+" a node", f.value, f.unit)
		key := policy + "/" + f.name + "/" + f.unit
		costs[key] = append(costs[key], point{float64(nodes), f.value})
	}
	return nil
}

// fitCosts emits each cost's slope over the number of nodes and its value at the
// design point. Probes are left out: their number per node depends on the engines,
// and the "capacity" measurement gives their cost.
func fitCosts(costs map[string][]point, emit Emit) {
	for _, policy := range []string{"full mesh", "tree"} {
		for _, key := range []string{"peer bytes sent/B/s", "peer bytes received/B/s", "processor/% of a core", "memory/B"} {
			name, unit, _ := strings.Cut(key, "/")
			emitLine(emit, policy, name+" a node", costs[policy+"/"+key], designNodes, unit, "node", "380 nodes")
		}
	}
}

// measureEvents measures the events on clusters of all sizes concurrently.
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
