package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// Pool names the targets that can run the same requests: the groups of a model,
// or the servers of a plain service, whose model is empty.
type Pool struct {
	Service string
	Model   string
}

// Load is what this node knows about the use of one target. It outlives the
// versions of the table.
type Load struct {
	// running counts this node's requests there.
	running atomic.Int64
	// prompts counts the prompt tokens of requests without a first event.
	prompts atomic.Int64
	// progressAt is the time of the newest byte, in Unix nanoseconds.
	progressAt atomic.Int64
	// avoidUntil is the end of a suspicion, in Unix nanoseconds.
	avoidUntil atomic.Int64
}

// Running returns the number of this node's requests at the target.
func (l *Load) Running() int { return int(l.running.Load()) }

// Suspect keeps new requests away until a time.
func (l *Load) Suspect(until time.Time) { l.avoidUntil.Store(until.UnixNano()) }

// Suspected reports whether the target is kept out at a time.
func (l *Load) Suspected(now time.Time) bool { return now.UnixNano() < l.avoidUntil.Load() }

// progress records a byte from the target, which ends a suspicion.
func (l *Load) progress(now time.Time) {
	l.progressAt.Store(now.UnixNano())
	l.avoidUntil.Store(0)
}

// Progressed reports whether an event came from the target lately.
func (l *Load) Progressed(now time.Time) bool {
	return l.progressAt.Load() > now.Add(-progressWindow).UnixNano()
}

// Target is a backend server that takes requests for its pool.
type Target struct {
	Instance *engine.Instance
	// Group is the group that the instance heads; zero for a plain server.
	Group engine.GroupID
	Pool  Pool
	// Slots is the number of requests that it runs at once at its usual speed. A
	// slower target has fewer, so that none of them is late.
	Slots int
	// Pace multiplies the times of the service's engines, Slowness those of other
	// targets of the pool.
	Pace, Slowness float64
	// MemberUnlisted tells that a member of the group is no longer listed.
	MemberUnlisted bool
	Load           *Load
}

// Table maps pools to their targets. It is immutable.
type Table struct {
	pools map[Pool][]*Target
	// byInstance finds a target by its instance.
	byInstance map[string]*Target
}

// Targets returns the targets of a pool.
func (t *Table) Targets(p Pool) []*Target { return t.pools[p] }

// Target returns the target of an instance, or nil.
func (t *Table) Target(instance string) *Target { return t.byInstance[instance] }

// Each calls fn for each target.
func (t *Table) Each(fn func(*Target)) {
	for _, target := range t.byInstance {
		fn(target)
	}
}

// loadKey identifies what a Load counts: a new life of an instance or another
// group starts anew.
type loadKey struct {
	instance  string
	startedMs int64
	group     engine.GroupID
}

// Tables builds tables and publishes the newest one.
type Tables struct {
	current atomic.Pointer[Table]

	mu    sync.Mutex
	loads map[loadKey]*Load
}

// NewTables returns an empty table.
func NewTables() *Tables {
	t := &Tables{loads: map[loadKey]*Load{}}
	t.current.Store(&Table{})
	return t
}

// Load returns the newest table.
func (t *Tables) Load() *Table { return t.current.Load() }

// Build derives a table from the configuration and the list of instances.
func (t *Tables) Build(c *catalog.Configuration, r *engine.Roster) {
	t.mu.Lock()
	defer t.mu.Unlock()
	table := &Table{pools: map[Pool][]*Target{}, byInstance: map[string]*Target{}}
	kept := map[loadKey]*Load{}
	add := func(target *Target) {
		key := loadKey{target.Instance.ID, target.Instance.StartedMs, target.Group}
		if target.Load = t.loads[key]; target.Load == nil {
			target.Load = &Load{}
		}
		kept[key] = target.Load
		table.pools[target.Pool] = append(table.pools[target.Pool], target)
		table.byInstance[target.Instance.ID] = target
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Engine == nil {
			addServers(s, r, add)
		} else {
			addGroups(s, r, add)
		}
	}
	t.loads = kept
	t.current.Store(table)
}

func addServers(s *catalog.Service, r *engine.Roster, add func(*Target)) {
	for _, in := range r.ByService[s.Name] {
		if !in.Leaving {
			add(&Target{Instance: in, Pool: Pool{Service: s.Name}, Slots: max(in.Slots, 1), Pace: 1, Slowness: 1})
		}
	}
}

func addGroups(s *catalog.Service, r *engine.Roster, add func(*Target)) {
	for _, g := range r.Groups[s.Name] {
		model := s.Engine.Model(g.Model)
		if model == nil || !g.IsOpen() || (!g.IsComplete(model.Size) && !g.MissingOnlyUnlisted(model.Size)) {
			continue
		}
		slots, slowness := s.Engine.Slots, 1.0
		if slots <= 0 {
			slots = max(g.Head().Slots, 1)
		}
		if g.SpansDomains() {
			slowness = s.Engine.CrossDomainFactor
			slots = max(int(float64(slots)/slowness), 1)
		}
		add(&Target{Instance: g.Head(), Group: g.ID, Pool: Pool{s.Name, g.Model}, Slots: slots,
			Pace: model.TimeFactor * slowness, Slowness: slowness, MemberUnlisted: !g.IsComplete(model.Size)})
	}
}
