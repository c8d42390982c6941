package formation_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/formation"
)

// fakeEngine is an engine of a fakeCluster. It carries out commands as engines do.
type fakeEngine struct {
	engine.Instance
	highestEpoch uint64
	members      []string
	// readyIn holds the groups in which the engine has reached the ready phase.
	readyIn  map[engine.GroupID]bool
	unlisted bool
	dead     bool
}

// fakeCluster holds engines and carries out commands, a fraction of them late.
type fakeCluster struct {
	mu           sync.Mutex
	engines      map[string]*fakeEngine
	random       *rand.Rand
	lateFraction float64
	// demand is the number of requests that the nodes report, by model.
	demand     map[string]float64
	violations []string
	// events are printed when a check fails.
	events []string
}

// recordEvent records an event; the caller holds the lock.
func (fc *fakeCluster) recordEvent(format string, args ...any) {
	fc.events = append(fc.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func newFakeCluster(seed uint64, domains, each int) *fakeCluster {
	fc := &fakeCluster{engines: map[string]*fakeEngine{}, random: rand.New(rand.NewPCG(seed, 1)),
		demand: map[string]float64{"large": 30, "small": 60}}
	for d := range domains {
		for i := range each {
			id := fmt.Sprintf("e%d-%d", d, i)
			fc.engines[id] = &fakeEngine{readyIn: map[engine.GroupID]bool{}, Instance: engine.Instance{ID: id, Service: "llm", Address: id,
				FabricDomain: fmt.Sprintf("d%d", d), StagedModels: []string{"large", "small"}}}
		}
	}
	return fc
}

// roster returns the instances as the platform lists them.
func (fc *fakeCluster) roster() *engine.Roster {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	var list []*engine.Instance
	for _, e := range fc.engines {
		if !e.dead && !e.unlisted {
			in := e.Instance
			in.StagedModels = slices.Clone(e.StagedModels)
			list = append(list, &in)
		}
	}
	return engine.NewRoster(list)
}

// Send implements engine.Commander. A late command gets no response.
func (fc *fakeCluster) Send(ctx context.Context, c engine.Command) error {
	fc.mu.Lock()
	late := fc.random.Float64() < fc.lateFraction
	delay := 2*time.Second + time.Duration(fc.random.Int64N(int64(10*time.Second)))
	fc.mu.Unlock()
	if late {
		go func() {
			time.Sleep(delay)
			_ = fc.apply(c)
		}()
		time.Sleep(time.Second)
		return errors.New("no answer")
	}
	time.Sleep(5 * time.Millisecond)
	return fc.apply(c)
}

// Probe implements engine.Prober.
func (fc *fakeCluster) Probe(_ context.Context, in *engine.Instance) error {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if fc.engines[in.ID].dead {
		return errors.New("no answer")
	}
	return nil
}

func (fc *fakeCluster) apply(c engine.Command) error {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	e := fc.engines[c.Instance]
	fc.recordEvent("%s %s of %s.%d while %+v", c.Operation, c.Instance, c.Group.Name, c.Group.Epoch, e.Membership)
	if e.dead {
		return errors.New("no connection")
	}
	g := &e.Membership
	here := g.Group == c.Group.Name && g.Epoch == c.Group.Epoch
	switch c.Operation {
	case engine.Join:
		return fc.join(e, c)
	case engine.OpenHead:
		if !here || g.Rank != 0 || g.Phase != engine.Ready {
			return engine.ErrRefused
		}
		fc.checkComplete(e)
		g.Phase = engine.Open
	case engine.CloseHead:
		if !here || g.Phase != engine.Open {
			return engine.ErrRefused
		}
		g.Phase = engine.Ready
	case engine.Leave:
		if here {
			*g = engine.Membership{}
			e.members = nil
		}
	}
	return nil
}

func (fc *fakeCluster) join(e *fakeEngine, c engine.Command) error {
	if c.Group.Epoch < e.highestEpoch {
		return engine.ErrRefused
	}
	if e.Membership.Group == c.Group.Name && e.Membership.Epoch == c.Group.Epoch {
		return nil
	}
	if e.Membership.Group != "" && fc.headServes(e) {
		fc.violations = append(fc.violations, fmt.Sprintf("%s joins %s while the head of %s serves", e.ID, c.Group.Name, e.Membership.Group))
	}
	e.highestEpoch, e.members, e.Model = c.Group.Epoch, c.Members, c.Model
	e.Membership = engine.Membership{Group: c.Group.Name, Epoch: c.Group.Epoch, Rank: slices.Index(c.Members, e.ID), Phase: engine.Joining}
	membership := e.Membership
	go func() {
		time.Sleep(300 * time.Millisecond)
		fc.mu.Lock()
		defer fc.mu.Unlock()
		if e.Membership == membership {
			e.Membership.Phase = engine.Ready
			e.readyIn[engine.GroupID{Name: membership.Group, Epoch: membership.Epoch}] = true
		}
	}()
	return nil
}

// headServes reports whether the head of a member's group is open.
func (fc *fakeCluster) headServes(member *fakeEngine) bool {
	head := fc.engines[member.members[0]]
	same := head.Membership.Group == member.Membership.Group && head.Membership.Epoch == member.Membership.Epoch
	return same && !head.dead && head.Membership.Phase == engine.Open
}

// checkComplete records a violation if a head opens although a member has never been ready
// in its group. A member that was ready and is lost since only makes the group stall.
func (fc *fakeCluster) checkComplete(head *fakeEngine) {
	for _, id := range head.members {
		if !fc.engines[id].readyIn[engine.GroupID{Name: head.Membership.Group, Epoch: head.Membership.Epoch}] {
			fc.violations = append(fc.violations, fmt.Sprintf("%s opens %s without %s", head.ID, head.Membership.Group, id))
		}
	}
}

// outsideServingGroups counts, by domain, the instances that are in no group that serves.
func (fc *fakeCluster) outsideServingGroups() map[string]int {
	counts := map[string]int{}
	roster := fc.roster()
	for _, in := range roster.ByID {
		counts[in.FabricDomain]++
	}
	for _, g := range roster.Groups["llm"] {
		if g.IsServing(profile.Model(g.Model).Size) {
			for _, m := range g.Members {
				counts[m.FabricDomain]--
			}
		}
	}
	return counts
}

// holder is a node that runs a controller with its own view of the lease. While frozen
// is set, its controller sees that instance list instead of the current one.
type holder struct {
	mu     sync.Mutex
	term   formation.Term
	held   bool
	frozen *engine.Roster
}

func (h *holder) set(term uint64, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term, h.held = formation.Term{Number: term}, held
}

// run starts the holder's controller on a cluster.
func (h *holder) run(ctx context.Context, fc *fakeCluster, all *sync.WaitGroup) {
	var configuration blackboard.Section[catalog.Configuration]
	var roster blackboard.Section[engine.Roster]
	configuration.Publish((&catalog.Configuration{Services: []catalog.Service{{Name: "llm", Engine: profile}}}).Index())
	c := formation.NewController(formation.Config{}, formation.Dependencies{
		Term: func() (formation.Term, bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.term, h.held
		},
		Configuration: &configuration, Roster: &roster,
		Demand:          func() map[string]float64 { return fc.demand },
		SuspectingNodes: func(string) int { return 0 },
		Progress:        func(string) bool { return false },
		Commander:       fc, Prober: fc, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	all.Go(func() { _ = c.Run(ctx) })
	all.Go(func() {
		for ctx.Err() == nil {
			h.mu.Lock()
			stale := h.frozen
			h.mu.Unlock()
			if stale == nil {
				stale = fc.roster()
			}
			roster.Publish(stale)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against an instance in two groups, a group that opens without a member,
// and instances that stay unused. Engines restart, disappear from the instance list and
// return, commands are carried out late, and the lease changes hands. A superseded
// holder continues for a while with an outdated list.
func TestGroupsUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	g := NewWithT(t)
	fc := newFakeCluster(seed, 3, 8)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	holders := []*holder{{}, {}, {}}
	for _, h := range holders {
		h.run(ctx, fc, &all)
	}
	current := 0
	holders[0].set(1, true)
	time.Sleep(10 * time.Second)
	g.Expect(fc.outsideServingGroups()).To(HaveEach(0))
	fc.mu.Lock()
	fc.lateFraction = 0.3
	fc.mu.Unlock()
	ids := make([]string, 0, len(fc.engines))
	for id := range fc.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for step := range 30 {
		fc.mu.Lock()
		id := ids[fc.random.IntN(len(ids))]
		kind := fc.random.IntN(4)
		fc.mu.Unlock()
		switch kind {
		case 0:
			fc.restart(id)
		case 1:
			fc.unlist(id, true)
		case 2:
			fc.unlist(id, false)
		case 3:
			outgoing := holders[current]
			outgoing.mu.Lock()
			outgoing.frozen = fc.roster()
			outgoing.mu.Unlock()
			current = (current + 1) % len(holders)
			incoming := holders[current]
			incoming.mu.Lock()
			incoming.frozen = nil
			incoming.mu.Unlock()
			incoming.set(uint64(step)+2, true)
			time.Sleep(700 * time.Millisecond)
			outgoing.set(0, false)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	fc.mu.Lock()
	fc.lateFraction = 0
	fc.mu.Unlock()
	for _, id := range ids {
		fc.unlist(id, false)
	}
	// Late commands take up to 12 s, and lost joins expire after some seconds.
	time.Sleep(40 * time.Second)
	if len(fc.violations) > 0 {
		t.Log(strings.Join(fc.events, "\n"))
	}
	g.Expect(fc.violations).To(BeEmpty())
	for _, e := range fc.engines {
		if e.Membership.Phase != engine.Open && e.Membership.Phase != engine.Ready || e.Membership.Rank < 0 {
			t.Logf("%s %+v", e.ID, e.Membership)
		}
	}
	for _, g := range fc.roster().Groups["llm"] {
		t.Log(g.ID, g.Model, len(g.Members), g.IsServing(profile.Model(g.Model).Size))
	}
	// Fewer instances than the smallest group needs may be left over in a domain.
	g.Expect(fc.outsideServingGroups()).To(HaveEach(BeNumerically("<", 2)))
}

// restart restarts an engine with no model in memory.
func (fc *fakeCluster) restart(id string) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	e := fc.engines[id]
	fc.recordEvent("%s restarts", id)
	e.StartedMs++
	e.Membership, e.members, e.highestEpoch, e.Model = engine.Membership{}, nil, 0, ""
}

func (fc *fakeCluster) unlist(id string, unlisted bool) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.recordEvent("%s unlisted %v", id, unlisted)
	fc.engines[id].unlisted = unlisted
}
