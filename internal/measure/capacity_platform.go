package measure

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/limit"
	"github.com/rattanlanding/rattanlanding/object"
)

const (
	// platformLatency is the simulated latency of one call to the in-memory platform.
	platformLatency = 3 * time.Millisecond
	// claimDuration is the time over which claims of one case are counted.
	claimDuration = 1500 * time.Millisecond
	// responseBytes is the body size of a stored response.
	responseBytes = 200
)

// countingShare counts the shares that a limiter computes.
type countingShare struct {
	limit.ProportionalShare
	count atomic.Int64
}

// Share implements limit.SharePolicy.
func (c *countingShare) Share(in limit.ShareInput) float64 {
	c.count.Add(1)
	return c.ProportionalShare.Share(in)
}

// limitUpdates emits the processor time to update the limit of one organisation.
func limitUpdates(ctx context.Context, emit Emit) error {
	var points []point
	for _, nodes := range []int{9, 100, designNodes} {
		board := &blackboard.Board{}
		board.Configuration.Publish(capacityConfiguration(1, 100, 1))
		demand := &blackboard.Demand{ByNode: map[string]blackboard.NodeDemand{}}
		members := &blackboard.Members{Self: "node-0"}
		for i := range nodes {
			name := fmt.Sprintf("node-%d", i)
			members.All = append(members.All, fleet.MemberView{Member: fleet.Member{Node: name, State: fleet.NodeServing}})
			demand.ByNode[name] = blackboard.NodeDemand{ReceivedAt: time.Now(), TokensPerSecond: map[string]float64{"organisation-1": 5, "organisation-2": 5}}
		}
		board.Members.Publish(members)
		board.Demand.Publish(demand)
		policy := &countingShare{}
		// The interval makes Run update without a pause.
		limiter := limit.NewLimiter(board, limit.Config{Interval: time.Microsecond, Policy: policy}, metrics.NewRegistry())
		bounded, cancel := context.WithTimeout(ctx, minTimedDuration)
		cpu := cpuTime()
		_ = limiter.Run(bounded)
		used := cpuTime() - cpu
		cancel()
		points = append(points, point{float64(nodes), float64(used.Nanoseconds()) / 1e3 / float64(max(policy.count.Load(), 1))})
	}
	emitLine(emit, "limits", "update of one organisation", points, designNodes, "us", "node", "380 nodes")
	return nil
}

// probeCost emits the bytes and the processor time of one health probe, including
// the engine's side.
func probeCost(ctx context.Context, emit Emit) error {
	engines, err := startEngines(groupSize)
	if err != nil {
		return err
	}
	defer engines.close()
	placements := capacityPlacements(1, groupSize, func(i int) string { return engines.addresses[i] })
	if err := engines.fill(placements); err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	client := backend.NewEngineClient(registry)
	const probes = 4000
	cpu := cpuTime()
	for i := range probes {
		if _, err := client.Status(ctx, engines.addresses[i%groupSize]); err != nil {
			return err
		}
	}
	used := cpuTime() - cpu
	sent := metrics.GetOrRegisterCounter("backend.engine.control.sent", registry).Count()
	received := metrics.GetOrRegisterCounter("backend.engine.control.received", registry).Count()
	emit("probe", "bytes sent", float64(sent)/probes, "B")
	emit("probe", "bytes received", float64(received)/probes, "B")
	emit("probe", "processor time, both ends", float64(used.Nanoseconds())/1e3/probes, "us")
	return nil
}

// claimsPerPartition are the numbers of claims that a partition already holds when a
// case starts. The present call rate adds 127 of them in an hour.
var claimsPerPartition = []int{0, 100, 400}

// fillConcurrency limits the claims in flight while partitions are filled.
const fillConcurrency = 20_000

// claimWrites emits the platform load of calls that must run only once.
func claimWrites(ctx context.Context, emit Emit) error {
	for _, fill := range claimsPerPartition {
		memory := object.NewMemory()
		if err := prefillClaims(ctx, memory, fill*claim.PartitionCount); err != nil {
			return err
		}
		memory.SetFaults(object.Faults{Delay: platformLatency})
		for _, callers := range []int{1, 10, 100} {
			measureClaims(ctx, memory, fill, callers, 1, emit)
		}
		measureClaims(ctx, memory, fill, 100, 9, emit)
	}
	return nil
}

// runClaim makes one claim and stores its response.
func runClaim(ctx context.Context, registry *claim.Registry, key string) error {
	held, _, err := registry.Begin(ctx, claim.Key{Organisation: "organisation-1", Service: "front-desk", Key: key}, hexHash(key))
	if err != nil {
		return err
	}
	return held.Complete(ctx, claim.Response{Status: 200, Body: make([]byte, responseBytes)})
}

// prefillClaims stores the given number of completed claims.
func prefillClaims(ctx context.Context, store object.Store, claims int) error {
	config := claim.Config{BatchWindow: 100 * time.Millisecond, CallTimeout: time.Minute, ClaimTimeout: time.Minute}
	registry := claim.NewRegistry(store, config, log.NewNopLogger(), metrics.NewRegistry())
	defer registry.Close()
	var all errgroup.Group
	all.SetLimit(fillConcurrency)
	for i := range claims {
		all.Go(func() error { return runClaim(ctx, registry, fmt.Sprint("fill", i)) })
	}
	return all.Wait()
}

// measureClaims emits the figures for a number of concurrent callers that are
// distributed over a number of nodes.
func measureClaims(ctx context.Context, memory object.Store, fill, callers, nodes int, emit Emit) {
	store := &countingStore{Store: memory}
	registries := make([]*claim.Registry, nodes)
	for i := range registries {
		registries[i] = claim.NewRegistry(store, claim.Config{}, log.NewNopLogger(), metrics.NewRegistry())
		defer registries[i].Close()
	}
	var calls, refused atomic.Int64
	var all sync.WaitGroup
	cpu, started := cpuTime(), time.Now()
	for caller := range callers {
		all.Go(func() {
			for i := 0; time.Since(started) < claimDuration; i++ {
				if runClaim(ctx, registries[caller%nodes], fmt.Sprint(fill, nodes, callers, "/", caller, "/", i)) != nil {
					refused.Add(1)
					continue
				}
				calls.Add(1)
			}
		})
	}
	all.Wait()
	done := float64(max(calls.Load(), 1))
	at := fmt.Sprintf("%d callers on %d nodes, partitions of %d claims, ", callers, nodes, fill)
	emit("claims", at+"calls a second", done/time.Since(started).Seconds(), "1/s")
	emit("claims", at+"writes a call", float64(store.writes.Load())/done, "writes")
	emit("claims", at+"reads a call", float64(store.reads.Load())/done, "reads")
	emit("claims", at+"bytes a write", float64(store.bytes.Load())/float64(max(store.writes.Load(), 1)), "B")
	emit("claims", at+"processor time a call", float64((cpuTime()-cpu).Nanoseconds())/1e3/done, "us")
	emit("claims", at+"refused calls", float64(refused.Load()), "calls")
}

// leaseWrites emits the rate of platform writes that renew held leases.
func leaseWrites(ctx context.Context, emit Emit) error {
	const window = 6 * time.Second
	sizes := []int{1, 5, 20}
	rates := make([]float64, len(sizes))
	var all sync.WaitGroup
	for i, shards := range sizes {
		all.Go(func() {
			board := &blackboard.Board{}
			board.Members.Publish(&blackboard.Members{Self: "node-0", All: []fleet.MemberView{
				{Member: fleet.Member{Node: "node-0", State: fleet.NodeServing}, HeartbeatAt: time.Now().Add(time.Hour)}}})
			store := &countingStore{Store: object.NewMemory()}
			names := make([]string, shards)
			for s := range names {
				names[s] = fmt.Sprintf("placement/fabric-%d", s)
			}
			manager := lease.New(lease.Config{Node: "node-0", Boot: "boot"}, store, board, func() []string { return names },
				log.NewNopLogger(), metrics.NewRegistry())
			bounded, cancel := context.WithTimeout(ctx, window)
			defer cancel()
			_ = manager.Run(bounded)
			// The two writes that acquire and release each lease are not part of the
			// steady rate.
			rates[i] = float64(store.writes.Load()-int64(2*shards)) / window.Seconds()
		})
	}
	all.Wait()
	var points []point
	for i, shards := range sizes {
		points = append(points, point{float64(shards), rates[i]})
	}
	emitLine(emit, "leases", "writes", points, 20, "1/s", "shard", "20 shards")
	return nil
}

// platformCalls emits the rates at which idle nodes call the platform. The waiting
// time of a watch is counted when it ends, so the nodes are stopped first.
func platformCalls(ctx context.Context, emit Emit) error {
	const window = 8 * time.Second
	sizes := []int{1, 3, 9}
	var clusters []*cluster
	for _, nodes := range sizes {
		c, err := startCluster(ctx, nodes)
		if err != nil {
			return err
		}
		clusters = append(clusters, c)
	}
	pause(ctx, window)
	for i, c := range clusters {
		c.close()
		emitCalls(c, sizes[i], window, emit)
	}
	return ctx.Err()
}

// emitCalls emits the platform calls that a cluster made between its start and its
// stop.
func emitCalls(c *cluster, nodes int, window time.Duration, emit Emit) {
	var reads, writes, watches, watching float64
	for _, n := range c.nodes {
		reads += float64(n.store.reads.Load())
		writes += float64(n.store.writes.Load())
		watches += float64(n.store.watches.Load())
		watching += time.Duration(n.store.watchTime.Load()).Seconds()
	}
	at := fmt.Sprintf("%d idle nodes, 5 shards, start included, ", nodes)
	per := window.Seconds() * float64(nodes)
	emit("platform calls", at+"reads a node", reads/per, "1/s")
	emit("platform calls", at+"writes a node", writes/per, "1/s")
	emit("platform calls", at+"watches begun a node", watches/per, "1/s")
	emit("platform calls", at+"watches waiting a node", watching/per, "calls")
}
