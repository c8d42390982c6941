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
	"github.com/rattanlanding/rattanlanding/internal/suspend"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/placement"
)

// engine is a simulated engine. It checks fencing tokens only if fenced.
type engine struct {
	report            fleet.Report
	highestGeneration fleet.Generation
	fenced            bool
	down              bool
	readyAt           time.Time
}

// cluster simulates the platform, the engines and the evidence of one fabric
// domain, and checks the placement rules on each write.
type cluster struct {
	object.Store
	g  *WithT
	mu sync.Mutex
	// placementObject is the stored placement of the fabric domain.
	placementObject object.Object
	// loseWriteResults makes writes that succeeded return ErrAmbiguous.
	loseWriteResults bool
	// failReads makes the platform's reads return ErrUnavailable.
	failReads bool
	conflicts int
	commands  int
	engines   map[string]*engine
	list      fleet.InstanceList
	// unplacedAt is when a write to the placement removed the instance from its
	// group; idleAt is its newest probe with an idle report.
	unplacedAt map[string]time.Time
	idleAt     map[string]time.Time
	// delayedCommands take effect when a test calls them; delayCommand decides
	// whether a command is delayed.
	delayedCommands []func()
	delayCommand    func() bool
	nodes           []*clusterNode
}

// clusterNode is one node with its own blackboard and reconciler.
type clusterNode struct {
	cluster    *cluster
	board      blackboard.Board
	reconciler *placement.Reconciler
}

func newCluster(g *WithT, instances int, groups ...fleet.Group) *cluster {
	c := &cluster{g: g, engines: map[string]*engine{}, unplacedAt: map[string]time.Time{}, idleAt: map[string]time.Time{}}
	for i := range instances {
		id := fmt.Sprintf("i%02d", i)
		c.engines[id] = &engine{report: fleet.Report{Instance: id, State: fleet.EngineIdle}, fenced: i%2 == 0}
		c.list.Instances = append(c.list.Instances, fleet.Instance{ID: id, Address: id, Pool: "p", FabricDomain: "f", State: fleet.InstanceLive})
	}
	for range 2 {
		n := &clusterNode{cluster: c}
		n.reconciler = placement.New(placement.Config{Limits: placement.Limits{FormingAllowance: 20 * time.Second}, LoadsPerMinute: 600},
			c, &n.board, placement.Balanced{DowntimeWeight: 0.5}, n, c, log.NewNopLogger(), metrics.NewRegistry())
		c.nodes = append(c.nodes, n)
	}
	c.configure("1", groups...)
	c.publishList(c.list.Instances)
	return c
}

func (c *cluster) configure(version string, groups ...fleet.Group) {
	for _, n := range c.nodes {
		n.board.Configuration.Publish(&fleet.Configuration{Groups: groups, Services: []fleet.Service{
			{Name: "high", Kind: fleet.KindModel, Pool: "p", Version: version, Priority: 2},
			{Name: "low", Kind: fleet.KindModel, Pool: "p", Version: version, Priority: 1}}})
	}
}

func (c *cluster) publishList(instances []fleet.Instance) {
	for _, n := range c.nodes {
		n.board.Instances.Publish(&fleet.InstanceList{Instances: slices.Clone(instances)})
	}
}

func (n *clusterNode) Publish(_ string, version uint64, body []byte) {
	var p fleet.Placement
	n.cluster.g.Expect(json.Unmarshal(body, &p)).To(Succeed())
	n.board.Placements.Publish(&blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{
		"f": {Version: version, Placement: p}}})
}

// grantLease gives the node the lease of the shard for d.
func (n *clusterNode) grantLease(epoch uint64, d time.Duration) {
	n.board.Shards.Publish(&blackboard.Shards{Held: map[string]blackboard.HeldShard{
		"placement/f": {Epoch: epoch, ValidUntil: time.Now().Add(d), Suspended: suspend.Total()}}})
}

func (c *cluster) Get(context.Context, object.Key) (object.Object, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failReads {
		return object.Object{}, object.ErrUnavailable
	}
	if c.placementObject.Version == 0 {
		return object.Object{}, object.ErrNotFound
	}
	return c.placementObject, nil
}

func (c *cluster) Update(_ context.Context, key object.Key, expected object.Version, value []byte) (object.Version, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if expected != c.placementObject.Version {
		c.conflicts++
		return 0, object.ErrConflict
	}
	c.checkRules(value)
	c.placementObject = object.Object{Key: key, Version: expected + 1, Value: value}
	if c.loseWriteResults {
		return 0, object.ErrAmbiguous
	}
	return c.placementObject.Version, nil
}

// checkRules checks that a write keeps each instance in at most one group, that
// an instance enters another group only after an idle report that follows its
// release, and that a changed group gets a new generation.
func (c *cluster) checkRules(value []byte) {
	old, next := c.parse(c.placementObject.Value), c.parse(value)
	c.g.Expect(next.Validate()).To(Succeed())
	before, after := groupByInstance(old), groupByInstance(next)
	for id, group := range after {
		was := before[id]
		if was == group {
			continue
		}
		c.g.Expect(was).To(BeEmpty(), "%s moved from %s to %s", id, was, group)
		if out, ok := c.unplacedAt[id]; ok {
			c.g.Expect(c.idleAt[id].Sub(out)).To(BeNumerically(">", placement.DefaultTimeToLive), "%s entered %s", id, group)
		}
	}
	for id := range before {
		if after[id] == "" {
			c.unplacedAt[id] = time.Now()
		}
	}
	for i := range next.Groups {
		g := &next.Groups[i]
		if o := old.Group(g.Name); o == nil || !slices.Equal(o.Members, g.Members) || o.Version != g.Version {
			c.g.Expect(g.Generation).To(BeNumerically(">=", old.NextGeneration))
		}
	}
}

func (c *cluster) parse(value []byte) *fleet.Placement {
	p := &fleet.Placement{}
	if len(value) > 0 {
		c.g.Expect(json.Unmarshal(value, p)).To(Succeed())
	}
	return p
}

func (c *cluster) placement() *fleet.Placement { return c.parse(c.placementObject.Value) }

func groupByInstance(p *fleet.Placement) map[string]string {
	owner := map[string]string{}
	for _, g := range p.Groups {
		for _, m := range g.Members {
			owner[m.Instance] = g.Name
		}
	}
	return owner
}

// Command implements placement.Commander. A delayed command times out and takes
// effect later.
func (c *cluster) Command(_ context.Context, address string, command fleet.Command) (fleet.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands++
	e := c.engines[address]
	if c.delayCommand != nil && c.delayCommand() {
		c.delayedCommands = append(c.delayedCommands, func() { e.apply(command) })
		return fleet.Report{}, context.DeadlineExceeded
	}
	if e.down {
		return fleet.Report{}, context.DeadlineExceeded
	}
	e.apply(command)
	return e.report, nil
}

func (e *engine) apply(c fleet.Command) {
	if e.fenced && c.Generation < e.highestGeneration {
		return
	}
	e.highestGeneration = max(e.highestGeneration, c.Generation)
	e.report = fleet.Report{Instance: e.report.Instance, State: fleet.EngineIdle, LoadedVersions: e.report.LoadedVersions}
	if c.Group != "" {
		e.report.Group, e.report.Generation, e.report.Rank, e.report.Size = c.Group, c.Generation, c.Rank, c.Size
		e.report.Service, e.report.Version, e.report.State = c.Service, c.Version, fleet.EngineLoading
		e.report.LoadedVersions = []string{c.Service + "/" + c.Version}
		e.readyAt = time.Now().Add(2 * time.Second)
	}
}

// tick publishes new evidence of the engines, advances the time and runs one
// pass of each node.
func (c *cluster) tick(ctx context.Context) {
	c.mu.Lock()
	now := time.Now()
	for _, n := range c.nodes {
		evidence := &blackboard.Evidence{ByInstance: map[string]blackboard.Observation{}}
		for id, e := range c.engines {
			if e.down {
				continue
			}
			if e.report.State == fleet.EngineLoading && !now.Before(e.readyAt) {
				e.report.State = fleet.EngineReady
			}
			if e.report.Free() {
				c.idleAt[id] = now
			}
			evidence.ByInstance[id] = blackboard.Observation{Report: e.report, ObservedAt: now}
		}
		n.board.Evidence.Publish(evidence)
	}
	c.mu.Unlock()
	time.Sleep(250 * time.Millisecond)
	for _, n := range c.nodes {
		n.reconciler.Step(ctx)
	}
}

// run repeats tick for d while the first node holds the lease.
func (c *cluster) run(ctx context.Context, d time.Duration, epoch uint64) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		c.nodes[0].grantLease(epoch, 4*time.Second)
		c.tick(ctx)
	}
}
