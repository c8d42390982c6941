package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/estimate"
	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/throttle"
)

// Pool identifies the targets that can run the same requests: the groups of a model,
// or the servers of a plain service, for which Model is empty.
type Pool struct {
	Service string
	Model   string
}

// Load is this node's state of one target. It is kept when a new table is built.
type Load struct {
	// running is the number of this node's requests at the target.
	running atomic.Int64
	// trials is the number of this node's requests that were sent while the target was on
	// trial.
	trials atomic.Int64
	// unreadPrompts is the number of prompt tokens of requests without a first event.
	unreadPrompts atomic.Int64
	// progressAt is when the last event was received, in Unix nanoseconds.
	progressAt atomic.Int64
	// record is what this node has seen the target fail and answer.
	record suspicion.Record
	// correction corrects the estimates for the target. The dispatcher's lock
	// guards it.
	correction estimate.TargetCorrection
}

// Running returns the number of this node's requests at the target.
func (l *Load) Running() int { return int(l.running.Load()) }

// Suspected reports whether the target gets no requests at the given time, because it is
// silent or gone.
func (l *Load) Suspected(now time.Time) bool { return l.record.Held(now) }

// Evidence returns what this node has seen the target fail and answer.
func (l *Load) Evidence(now time.Time) suspicion.Evidence { return l.record.Evidence(now) }

// recordProgress records an event of the target.
func (l *Load) recordProgress(now time.Time) {
	l.progressAt.Store(now.UnixNano())
	l.record.Progressed()
}

// HasRecentProgress reports whether an event of the target arrived within progressWindow.
func (l *Load) HasRecentProgress(now time.Time) bool {
	return l.progressAt.Load() > now.Add(-progressWindow).UnixNano()
}

// Target is a backend server that accepts requests for its pool.
type Target struct {
	Instance *engine.Instance
	// Server identifies the start of the instance.
	Server throttle.Server
	// Group is the group that the instance heads; zero for a plain server.
	Group engine.GroupID
	Pool  Pool
	// Slots is the number of requests that the target runs concurrently at its usual
	// speed. A slow target has fewer slots, so that its requests aren't late.
	Slots int
	// TimeFactor multiplies the times of the service's engine profile.
	TimeFactor float64
	// Slowness is the factor by which the target is slower than the usual targets of
	// its pool.
	Slowness float64
	// MemberUnlisted is true if a member of the group is no longer listed.
	MemberUnlisted bool
	// Withdrawing is true if the target will soon be evacuated. It gets only requests for
	// which no other target has a free slot.
	Withdrawing bool
	Load        *Load
}

// Table maps pools to their targets. It is immutable.
type Table struct {
	pools map[Pool][]*Target
	// byInstance maps instance IDs to targets.
	byInstance map[string]*Target
	// engines maps the pools of models to the properties of their groups.
	engines map[Pool]engineModel
	// evacuated is the number of targets that get no requests because their failure domains
	// are evacuated, by pool.
	evacuated map[Pool]int
}

// engineModel is a model and the engines that run it.
type engineModel struct {
	profile *catalog.EngineProfile
	model   *catalog.Model
}

// slots returns the number of slots that requests at the given rate per second occupy
// in groups with all slots in use, for requests with the given mean lengths.
func (e engineModel) slots(rate, promptTokens, events float64) float64 {
	output := events * float64(max(e.profile.StepsPerEvent, 1))
	groups := rate * e.profile.RequestTime(promptTokens, output).Seconds() * e.model.TimeFactor
	return groups * float64(e.profile.Slots)
}

// Targets returns the targets of a pool.
func (t *Table) Targets(p Pool) []*Target { return t.pools[p] }

// EvacuatedTargets returns the number of targets that get no requests because their failure
// domains are evacuated.
func (t *Table) EvacuatedTargets() int {
	total := 0
	for _, n := range t.evacuated {
		total += n
	}
	return total
}

// isEvacuated reports whether a pool has targets, but all in evacuated failure domains.
func (t *Table) isEvacuated(p Pool) bool { return len(t.pools[p]) == 0 && t.evacuated[p] > 0 }

// Target returns the target of an instance, or nil.
func (t *Table) Target(instance string) *Target { return t.byInstance[instance] }

// Each calls fn for each target.
func (t *Table) Each(fn func(*Target)) {
	for _, target := range t.byInstance {
		fn(target)
	}
}

// loadKey identifies a Load. A restarted instance, or one in another group, has a new
// Load.
type loadKey struct {
	instance  string
	startedMs int64
	group     engine.GroupID
}

// Tables builds tables and publishes the current one.
type Tables struct {
	current atomic.Pointer[Table]

	mu    sync.Mutex
	loads map[loadKey]*Load
	// sizes are those of the groups of each service.
	sizes map[string]*engine.Sizes
}

// NewTables returns Tables whose current table is empty.
func NewTables() *Tables {
	t := &Tables{loads: map[loadKey]*Load{}, sizes: map[string]*engine.Sizes{}}
	t.current.Store(&Table{})
	return t
}

// Load returns the current table.
func (t *Tables) Load() *Table { return t.current.Load() }

// Build builds a table from the configuration and the instance list, and publishes it. Targets
// with a member in an evacuated failure domain aren't in it.
func (t *Tables) Build(c *catalog.Configuration, r *engine.Roster) {
	t.mu.Lock()
	defer t.mu.Unlock()
	table := &Table{pools: map[Pool][]*Target{}, byInstance: map[string]*Target{}, engines: map[Pool]engineModel{}, evacuated: map[Pool]int{}}
	kept := map[loadKey]*Load{}
	add := func(target *Target, members ...*engine.Instance) {
		key := loadKey{target.Instance.ID, target.Instance.StartedMs, target.Group}
		if target.Load = t.loads[key]; target.Load == nil {
			target.Load = &Load{}
		}
		kept[key] = target.Load
		switch r.Evacuations.Of(members...) {
		case engine.EvacuationInForce:
			table.evacuated[target.Pool]++
			return
		case engine.EvacuationPending:
			target.Withdrawing = true
		}
		target.Server = throttle.ServerOf(target.Instance.ID, target.Instance.StartedMs)
		table.pools[target.Pool] = append(table.pools[target.Pool], target)
		table.byInstance[target.Instance.ID] = target
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Engine == nil {
			addServers(s, r, add)
		} else {
			if t.sizes[s.Name] == nil {
				t.sizes[s.Name] = &engine.Sizes{}
			}
			addGroups(s, r, t.sizes[s.Name], add)
			for i := range s.Engine.Models {
				m := &s.Engine.Models[i]
				table.engines[Pool{s.Name, m.Name}] = engineModel{s.Engine, m}
			}
		}
	}
	t.loads = kept
	t.current.Store(table)
}

func addServers(s *catalog.Service, r *engine.Roster, add func(target *Target, members ...*engine.Instance)) {
	for _, in := range r.ByService[s.Name] {
		if !in.Leaving {
			add(&Target{Instance: in, Pool: Pool{Service: s.Name}, Slots: max(in.Slots, 1), TimeFactor: 1, Slowness: 1}, in)
		}
	}
}

func addGroups(s *catalog.Service, r *engine.Roster, sizes *engine.Sizes, add func(target *Target, members ...*engine.Instance)) {
	groups := r.Groups[s.Name]
	sizes.Observe(groups, s.Engine.Size)
	for _, g := range groups {
		model := s.Engine.Model(g.Model)
		if model == nil || !g.IsOpen() || sizes.Of(g.ID) != model.Size || (!g.IsComplete(model.Size) && !g.MissingOnlyUnlisted(model.Size)) {
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
			TimeFactor: model.TimeFactor * slowness, Slowness: slowness, MemberUnlisted: !g.IsComplete(model.Size)}, g.Members...)
	}
}
