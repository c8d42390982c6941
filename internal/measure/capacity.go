package measure

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/health"
	"github.com/rattanlanding/rattanlanding/placement"
	"github.com/rattanlanding/rattanlanding/route"
)

// minTimedDuration is the minimum time for which a timed operation is repeated.
const minTimedDuration = 300 * time.Millisecond

// capacity measures the costs of single operations, and their slopes over the
// size, that docs/CAPACITY.md is computed from. Only platformCalls starts clusters.
func capacity() Measurement {
	return Measurement{Name: "capacity", Run: func(ctx context.Context, _ uint64, emit Emit) error {
		for _, part := range []func(context.Context, Emit) error{
			configurationSize, placementSize, planTime, routing, evidencePublishing, addressResponseTime,
			limitUpdates, probeCost, claimWrites, leaseWrites, platformCalls,
		} {
			if err := part(ctx, emit); err != nil {
				return err
			}
		}
		return nil
	}}
}

// gzipSize returns the size of data in bytes after gzip compression.
func gzipSize(data []byte) float64 {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(data)
	_ = w.Close()
	return float64(out.Len())
}

// configurationSize emits the encoded size of the configuration by its number of
// groups, organisations and services.
func configurationSize(_ context.Context, emit Emit) error {
	kinds := []struct {
		name   string
		sizes  []int
		make   func(n int) *fleet.Configuration
		design float64
	}{
		{"group", []int{20, 75, 750}, func(n int) *fleet.Configuration { return capacityConfiguration(n, 1, 1) }, designGroups},
		{"organisation", []int{10, 100, 1000}, func(n int) *fleet.Configuration { return capacityConfiguration(1, n, 1) }, 100},
		{"service", []int{2, 20, 200}, func(n int) *fleet.Configuration { return capacityConfiguration(1, 1, n) }, 20},
	}
	for _, k := range kinds {
		var plain, compressed []point
		for _, n := range k.sizes {
			body, err := json.Marshal(k.make(n))
			if err != nil {
				return err
			}
			plain = append(plain, point{float64(n), float64(len(body))})
			compressed = append(compressed, point{float64(n), gzipSize(body)})
		}
		at := fmt.Sprintf("%g", k.design)
		emitLine(emit, "configuration", "bytes a "+k.name, plain, k.design, "B", k.name, at)
		emitLine(emit, "configuration", "gzip bytes a "+k.name, compressed, k.design, "B", k.name, at)
	}
	return designConfiguration(emit)
}

// designConfiguration emits the configuration's size and decoding time at the
// design point, with the 200 note records that are kept.
func designConfiguration(emit Emit) error {
	c := capacityConfiguration(designGroups, 100, 20)
	for i := range 200 {
		c.Notes = append(c.Notes, fleet.NoteRecord{ID: fmt.Sprintf("raise-limit-%d", i), Revision: fleet.Revision(i),
			ContentHash: hexHash(fmt.Sprint(i)), Operator: "operator-1", Reason: "more room for the evening",
			AcceptedAt: "2026-12-04T10:00:00Z"})
	}
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	emit("configuration", "75 groups, 100 organisations, 20 services, 200 notes", float64(len(body)), "B")
	emit("configuration", "the same, gzip", gzipSize(body), "B")
	took := timed(minTimedDuration, func() { _ = json.Unmarshal(body, &fleet.Configuration{}) })
	emit("configuration", "the same, decoding", float64(took.Microseconds()), "us")
	return nil
}

// placementSize emits the encoded size of a fabric domain's placement.
func placementSize(_ context.Context, emit Emit) error {
	var points []point
	for _, groups := range []int{25, 75, 375} {
		p := capacityPlacements(groups, groupSize, func(i int) string { return fmt.Sprintf("10.20.%d.%d:8000", i/250, i%250) })[0]
		body, err := json.Marshal(p)
		if err != nil {
			return err
		}
		points = append(points, point{float64(len(p.Groups)), float64(len(body))})
	}
	emitLine(emit, "placement", "bytes of a fabric domain", points, 15, "B", "group", "15 groups")
	return nil
}

// planInput returns the planner's input for a fabric domain whose groups serve.
// The first broken of them have lost their last member. There are two spare
// instances and one more for each broken group.
func planInput(groups, broken int) *placement.Input {
	now := time.Now()
	in := &placement.Input{FabricDomain: "f", LoadsAllowed: 64, Now: now,
		Services: map[string]fleet.Service{capacityService: {Name: capacityService, Kind: fleet.KindModel,
			Pool: "engines", Version: capacityVersion}},
		Instances: map[string]placement.InstanceView{}, GroupAge: map[fleet.Generation]time.Duration{},
		Current: fleet.Placement{FabricDomain: "f", NextGeneration: fleet.Generation(groups + 1)}}
	for i := range groups {
		g := placedGroup(i, groupSize, func(n int) string { return fmt.Sprintf("10.0.%d.%d:8000", n/250, n%250) })
		in.Groups = append(in.Groups, fleet.Group{Name: g.Name, Service: capacityService, Size: groupSize, FabricDomain: "f"})
		in.Current.Groups = append(in.Current.Groups, g)
		in.GroupAge[g.Generation] = time.Hour
		for rank, m := range g.Members {
			view := placement.InstanceView{Entry: capacityInstance(m, "f"), Listed: true, Fresh: true,
				Report: reportOf(&g, rank), ObservedAt: now}
			if i < broken && rank == groupSize-1 {
				view.Fresh, view.LostFor = false, time.Minute
			}
			in.Instances[m.Instance] = view
		}
	}
	for i := range 2 + broken {
		m := fleet.GroupMember{Instance: fmt.Sprintf("spare-%d", i), Address: fmt.Sprintf("10.9.0.%d:8000", i)}
		in.Instances[m.Instance] = placement.InstanceView{Entry: capacityInstance(m, "f"), Listed: true, Fresh: true,
			Report: fleet.Report{Instance: m.Instance, State: fleet.EngineIdle}, ObservedAt: now,
			UnplacedAt: now.Add(-time.Hour), IdleAfter: now.Add(-time.Hour)}
	}
	return in
}

// planTime emits the time to compute one plan.
func planTime(_ context.Context, emit Emit) error {
	for _, broken := range []int{0, 3} {
		var points []point
		name := fmt.Sprintf("plan with %d broken groups", broken)
		for _, groups := range []int{15, 75, 150} {
			in := planInput(groups, broken)
			result, err := placement.Plan(in, placement.Balanced{DowntimeWeight: 0.5})
			if err != nil || result.Changed != (broken > 0) {
				return fmt.Errorf("plan of %d groups, %d of them broken: changed=%v, error %w", groups, broken, result.Changed, err)
			}
			took := timed(minTimedDuration, func() { _, _ = placement.Plan(in, placement.Balanced{DowntimeWeight: 0.5}) })
			emit("planner", fmt.Sprintf("%s, %d groups", name, groups), float64(took.Nanoseconds())/1e3, "us")
			points = append(points, point{float64(groups), float64(took.Nanoseconds()) / 1e3})
		}
		emitLine(emit, "planner", name, points, 15, "us", "group", "15 groups")
	}
	return nil
}

// routing emits the cost of building the routing table and of choosing one group.
func routing(_ context.Context, emit Emit) error {
	var build, memory, choose []point
	for _, groups := range []int{20, 75, 750} {
		board := capacityBoard(groups)
		builder := route.NewBuilder(route.Config{Lifetime: time.Hour}, board, metrics.NewRegistry())
		took := timed(minTimedDuration, builder.Build)
		_, before := allocations()
		for range 100 {
			builder.Build()
		}
		_, after := allocations()
		service, policy, now := builder.Table.Load().Service(capacityService), &route.Affinity{}, time.Now()
		if len(service.Targets) != groups {
			return fmt.Errorf("routing table has %d targets of service %s, want %d groups", len(service.Targets), capacityService, groups)
		}
		prefix := uint64(1)
		choice := timed(minTimedDuration, func() {
			for range 100 {
				prefix++
				policy.Choose(service.Fresh(now, nil), route.Request{Prefix: prefix}, now)
			}
		}) / 100
		size := float64(groups)
		build = append(build, point{size, float64(took.Nanoseconds()) / 1e3})
		memory = append(memory, point{size, (after - before) / 100})
		choose = append(choose, point{size, float64(choice.Nanoseconds())})
		emit("routing", fmt.Sprintf("table build, %d groups", groups), float64(took.Nanoseconds())/1e3, "us")
		emit("routing", fmt.Sprintf("one choice, %d groups", groups), float64(choice.Nanoseconds()), "ns")
	}
	emitLine(emit, "routing", "table build", build, designGroups, "us", "group", "75 groups")
	emitLine(emit, "routing", "allocated bytes a build", memory, designGroups, "B", "group", "75 groups")
	emitLine(emit, "routing", "one choice", choose, designGroups, "ns", "group", "75 groups")
	return nil
}

// evidencePublishing emits the processor time of publishing the evidence table,
// which happens up to 50 times a second.
func evidencePublishing(_ context.Context, emit Emit) error {
	var points []point
	for _, groups := range []int{8, 75, 750} {
		board := capacityBoard(groups)
		observations := board.Evidence.Load().ByInstance
		table := health.NewTable(health.TableConfig{TimeToLive: time.Hour}, &board.Evidence)
		for _, o := range observations {
			table.Observe(o)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		one := observations[instanceName(0, 0)]
		cpu, started := cpuTime(), time.Now()
		go func() { defer close(done); _ = table.Run(ctx) }()
		for time.Since(started) < time.Second {
			one.ObservedAt = time.Now()
			table.Observe(one)
			time.Sleep(5 * time.Millisecond)
		}
		share := 100 * (cpuTime() - cpu).Seconds() / time.Since(started).Seconds()
		cancel()
		<-done
		points = append(points, point{float64(groups * groupSize), share})
	}
	emitLine(emit, "evidence", "publication of a table that changes at all times", points, 600, "% of a core", "instance", "600 instances")
	return nil
}
