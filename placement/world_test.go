package placement_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/placement"
)

// engine is a simulated engine. It ignores fencing tokens unless fenced.
type engine struct {
	report  fleet.Report
	highest fleet.Generation
	fenced  bool
	down    bool
	readyAt time.Time
}

// world simulates the platform, the engines and the evidence of one fabric
// domain, and checks the placement rules at each write.
type world struct {
	object.Store
	g      *WithT
	mu     sync.Mutex
	stored object.Object
	lose   bool
	// closed makes reads fail.
	closed    bool
	conflicts int
	commands  int
	engines   map[string]*engine
	list      fleet.InstanceList
	// outSince is when the stored placement dropped an instance, and idleAt the
	// newest probe that it answered as idle.
	outSince map[string]time.Time
	idleAt   map[string]time.Time
	delayed  []func()
	delay    func() bool
	nodes    []*holder
}

// holder is one node with its own blackboard.
type holder struct {
	w     *world
	board blackboard.Board
	r     *placement.Reconciler
}

func newWorld(g *WithT, instances int, groups ...fleet.Group) *world {
	w := &world{g: g, engines: map[string]*engine{}, outSince: map[string]time.Time{}, idleAt: map[string]time.Time{}}
	for i := range instances {
		id := fmt.Sprintf("i%02d", i)
		w.engines[id] = &engine{report: fleet.Report{Instance: id, State: fleet.EngineIdle}, fenced: i%2 == 0}
		w.list.Instances = append(w.list.Instances, fleet.Instance{ID: id, Address: id, Pool: "p", FabricDomain: "f", State: fleet.InstanceLive})
	}
	for range 2 {
		h := &holder{w: w}
		h.r = placement.New(placement.Config{Limits: placement.Limits{FormingAllowance: 20 * time.Second}, LoadsPerMinute: 600},
			w, &h.board, placement.Balanced{DowntimeWeight: 0.5}, h, w, log.NewNopLogger(), metrics.NewRegistry())
		w.nodes = append(w.nodes, h)
	}
	w.configure("1", groups...)
	w.showList(w.list.Instances)
	return w
}

func (w *world) configure(version string, groups ...fleet.Group) {
	for _, h := range w.nodes {
		h.board.Configuration.Publish(&fleet.Configuration{Groups: groups, Services: []fleet.Service{
			{Name: "high", Kind: fleet.KindModel, Pool: "p", Version: version, Priority: 2},
			{Name: "low", Kind: fleet.KindModel, Pool: "p", Version: version, Priority: 1}}})
	}
}

func (w *world) showList(instances []fleet.Instance) {
	for _, h := range w.nodes {
		h.board.Instances.Publish(&fleet.InstanceList{Instances: slices.Clone(instances)})
	}
}

func (h *holder) Publish(_ string, version uint64, body []byte) {
	var p fleet.Placement
	h.w.g.Expect(json.Unmarshal(body, &p)).To(Succeed())
	h.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{
		"f": {Version: version, Placement: p}}})
}

func (h *holder) hold(epoch uint64, d time.Duration) {
	h.board.Shards.Publish(&blackboard.Shards{Held: map[string]blackboard.HeldShard{
		"placement/f": {Epoch: epoch, GoodUntil: time.Now().Add(d)}}})
}

func (w *world) Get(context.Context, object.Key) (object.Object, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return object.Object{}, object.ErrUnavailable
	}
	if w.stored.Version == 0 {
		return object.Object{}, object.ErrNotFound
	}
	return w.stored, nil
}

func (w *world) Update(_ context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if expected != w.stored.Version {
		w.conflicts++
		return 0, object.ErrConflict
	}
	w.check(value)
	w.stored = object.Object{Key: key, Version: expected + 1, Value: value}
	if w.lose {
		return 0, object.ErrAmbiguous
	}
	return w.stored.Version, nil
}

// check applies the rules of the one-group guarantee to a write.
func (w *world) check(value []byte) {
	old, next := w.parse(w.stored.Value), w.parse(value)
	w.g.Expect(next.Validate()).To(Succeed())
	before, after := groupOf(old), groupOf(next)
	for id, group := range after {
		was := before[id]
		if was == group {
			continue
		}
		w.g.Expect(was).To(BeEmpty(), "%s moved from %s to %s", id, was, group)
		if out, ok := w.outSince[id]; ok {
			w.g.Expect(w.idleAt[id].Sub(out)).To(BeNumerically(">", placement.DefaultTimeToLive), "%s entered %s", id, group)
		}
	}
	for id := range before {
		if after[id] == "" {
			w.outSince[id] = time.Now()
		}
	}
	for i := range next.Groups {
		g := &next.Groups[i]
		if o := old.Group(g.Name); o == nil || !slices.Equal(o.Members, g.Members) || o.Version != g.Version {
			w.g.Expect(g.Generation).To(BeNumerically(">=", old.NextGeneration))
		}
	}
}

func (w *world) parse(value []byte) *fleet.Placement {
	p := &fleet.Placement{}
	if len(value) > 0 {
		w.g.Expect(json.Unmarshal(value, p)).To(Succeed())
	}
	return p
}

func (w *world) placement() *fleet.Placement { return w.parse(w.stored.Value) }

func groupOf(p *fleet.Placement) map[string]string {
	owner := map[string]string{}
	for _, g := range p.Groups {
		for _, m := range g.Members {
			owner[m.Instance] = g.Name
		}
	}
	return owner
}

// Command implements placement.Commander. A delayed command takes effect later.
func (w *world) Command(_ context.Context, address string, order fleet.Order) (fleet.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commands++
	e := w.engines[address]
	if w.delay != nil && w.delay() {
		w.delayed = append(w.delayed, func() { e.obey(order) })
		return fleet.Report{}, context.DeadlineExceeded
	}
	if e.down {
		return fleet.Report{}, context.DeadlineExceeded
	}
	e.obey(order)
	return e.report, nil
}

func (e *engine) obey(o fleet.Order) {
	if e.fenced && o.Generation < e.highest {
		return
	}
	e.highest = max(e.highest, o.Generation)
	e.report = fleet.Report{Instance: e.report.Instance, State: fleet.EngineIdle, LoadedVersions: e.report.LoadedVersions}
	if o.Group != "" {
		e.report.Group, e.report.Generation, e.report.Rank, e.report.Size = o.Group, o.Generation, o.Rank, o.Size
		e.report.Service, e.report.Version, e.report.State = o.Service, o.Version, fleet.EngineLoading
		e.report.LoadedVersions = []string{o.Service + "/" + o.Version}
		e.readyAt = time.Now().Add(2 * time.Second)
	}
}

// tick probes the engines, passes time and lets the holders work.
func (w *world) tick(ctx context.Context) {
	w.mu.Lock()
	now := time.Now()
	for _, h := range w.nodes {
		evidence := &blackboard.Evidence{ByInstance: map[string]blackboard.Observation{}}
		for id, e := range w.engines {
			if e.down {
				continue
			}
			if e.report.State == fleet.EngineLoading && !now.Before(e.readyAt) {
				e.report.State = fleet.EngineReady
			}
			if e.report.Free() {
				w.idleAt[id] = now
			}
			evidence.ByInstance[id] = blackboard.Observation{Report: e.report, ObservedAt: now}
		}
		h.board.Evidence.Publish(evidence)
	}
	w.mu.Unlock()
	time.Sleep(250 * time.Millisecond)
	for _, h := range w.nodes {
		h.r.Step(ctx)
	}
}

func (w *world) run(ctx context.Context, d time.Duration, epoch uint64) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		w.nodes[0].hold(epoch, 4*time.Second)
		w.tick(ctx)
	}
}
