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

// machine is an engine of the test world. It obeys orders as engines do.
type machine struct {
	engine.Instance
	seen    uint64
	members []string
	// ready holds the groups in which the engine has been ready.
	ready    map[engine.GroupID]bool
	unlisted bool
	dead     bool
}

// world holds engines and carries out orders, some of them late.
type world struct {
	mu        sync.Mutex
	machines  map[string]*machine
	random    *rand.Rand
	lateShare float64
	// demand is what the nodes measure, by model.
	demand     map[string]float64
	violations []string
	// events is what happened, printed when a check fails.
	events []string
}

// note records an event; the caller holds the lock.
func (w *world) note(format string, args ...any) {
	w.events = append(w.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func newWorld(seed uint64, domains, each int) *world {
	w := &world{machines: map[string]*machine{}, random: rand.New(rand.NewPCG(seed, 1)),
		demand: map[string]float64{"large": 30, "small": 60}}
	for d := range domains {
		for i := range each {
			id := fmt.Sprintf("e%d-%d", d, i)
			w.machines[id] = &machine{ready: map[engine.GroupID]bool{}, Instance: engine.Instance{ID: id, Service: "llm", Address: id,
				FabricDomain: fmt.Sprintf("d%d", d), Staged: []string{"large", "small"}}}
		}
	}
	return w
}

// roster returns the list as the store shows it.
func (w *world) roster() *engine.Roster {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*engine.Instance
	for _, m := range w.machines {
		if !m.dead && !m.unlisted {
			in := m.Instance
			in.Staged = slices.Clone(m.Staged)
			list = append(list, &in)
		}
	}
	return engine.NewRoster(list)
}

// Send implements engine.Commander. A late order gets no answer.
func (w *world) Send(ctx context.Context, c engine.Command) error {
	w.mu.Lock()
	late := w.random.Float64() < w.lateShare
	delay := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
	w.mu.Unlock()
	if late {
		go func() {
			time.Sleep(delay)
			_ = w.apply(c)
		}()
		time.Sleep(time.Second)
		return errors.New("no answer")
	}
	time.Sleep(5 * time.Millisecond)
	return w.apply(c)
}

// Probe implements engine.Prober.
func (w *world) Probe(_ context.Context, in *engine.Instance) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machines[in.ID].dead {
		return errors.New("no answer")
	}
	return nil
}

func (w *world) apply(c engine.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[c.Instance]
	w.note("%s %s of %s.%d while %+v", c.Operation, c.Instance, c.Group.Name, c.Group.Epoch, m.Membership)
	if m.dead {
		return errors.New("no connection")
	}
	g := &m.Membership
	here := g.Group == c.Group.Name && g.Epoch == c.Group.Epoch
	switch c.Operation {
	case engine.Join:
		return w.join(m, c)
	case engine.OpenHead:
		if !here || g.Rank != 0 || g.Phase != engine.Ready {
			return engine.ErrRefused
		}
		w.checkWhole(m)
		g.Phase = engine.Open
	case engine.CloseHead:
		if !here || g.Phase != engine.Open {
			return engine.ErrRefused
		}
		g.Phase = engine.Ready
	case engine.Leave:
		if here {
			*g = engine.Membership{}
			m.members = nil
		}
	}
	return nil
}

func (w *world) join(m *machine, c engine.Command) error {
	if c.Group.Epoch < m.seen {
		return engine.ErrRefused
	}
	if m.Membership.Group == c.Group.Name && m.Membership.Epoch == c.Group.Epoch {
		return nil
	}
	if m.Membership.Group != "" && w.headServes(m) {
		w.violations = append(w.violations, fmt.Sprintf("%s joins %s while the head of %s serves", m.ID, c.Group.Name, m.Membership.Group))
	}
	m.seen, m.members, m.Model = c.Group.Epoch, c.Members, c.Model
	m.Membership = engine.Membership{Group: c.Group.Name, Epoch: c.Group.Epoch, Rank: slices.Index(c.Members, m.ID), Phase: engine.Joining}
	membership := m.Membership
	go func() {
		time.Sleep(300 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.Membership == membership {
			m.Membership.Phase = engine.Ready
			m.ready[engine.GroupID{Name: membership.Group, Epoch: membership.Epoch}] = true
		}
	}()
	return nil
}

// headServes reports whether the head of a member's group is open.
func (w *world) headServes(m *machine) bool {
	head := w.machines[m.members[0]]
	same := head.Membership.Group == m.Membership.Group && head.Membership.Epoch == m.Membership.Epoch
	return same && !head.dead && head.Membership.Phase == engine.Open
}

// checkWhole records a head that opens although a member has never been ready. One
// that was, and is lost since, makes the group stall.
func (w *world) checkWhole(head *machine) {
	for _, id := range head.members {
		if !w.machines[id].ready[engine.GroupID{Name: head.Membership.Group, Epoch: head.Membership.Epoch}] {
			w.violations = append(w.violations, fmt.Sprintf("%s opens %s without %s", head.ID, head.Membership.Group, id))
		}
	}
}

// stranded counts, by domain, the instances that are in no group that serves.
func (w *world) stranded() map[string]int {
	stranded := map[string]int{}
	roster := w.roster()
	for _, in := range roster.ByID {
		stranded[in.FabricDomain]++
	}
	for _, g := range roster.Groups["llm"] {
		if g.Serving(profile.Model(g.Model).Size) {
			for _, m := range g.Members {
				stranded[m.FabricDomain]--
			}
		}
	}
	return stranded
}

// holder is a controller with its own view of the lease.
type holder struct {
	mu    sync.Mutex
	term  formation.Term
	held  bool
	stale *engine.Roster
}

func (h *holder) set(term uint64, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term, h.held = formation.Term{Number: term}, held
}

// run starts the holder's controller on the world.
func (h *holder) run(ctx context.Context, w *world, all *sync.WaitGroup) {
	var configuration blackboard.Section[catalog.Configuration]
	var roster blackboard.Section[engine.Roster]
	configuration.Publish((&catalog.Configuration{Services: []catalog.Service{{Name: "llm", Engine: profile}}}).Index())
	c := formation.NewController(formation.Config{}, formation.Ports{
		Term: func() (formation.Term, bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.term, h.held
		},
		Configuration: &configuration, Roster: &roster,
		Demand:     func() map[string]float64 { return w.demand },
		Suspecting: func(string) int { return 0 },
		Progress:   func(string) bool { return false },
		Commander:  w, Prober: w, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
	})
	all.Go(func() { _ = c.Run(ctx) })
	all.Go(func() {
		for ctx.Err() == nil {
			h.mu.Lock()
			stale := h.stale
			h.mu.Unlock()
			if stale == nil {
				stale = w.roster()
			}
			roster.Publish(stale)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against an instance in two groups, a group that opens without a member,
// and instances that stay unused, while engines die, drop out of the list and
// return, orders are carried out late, and the holder changes. A superseded holder
// goes on with an old list until it notices.
func TestGroupsUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFaults(t, seed) })
		})
	}
}

func playFaults(t *testing.T, seed uint64) {
	g := NewWithT(t)
	w := newWorld(seed, 3, 8)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	holders := []*holder{{}, {}, {}}
	for _, h := range holders {
		h.run(ctx, w, &all)
	}
	current := 0
	holders[0].set(1, true)
	time.Sleep(10 * time.Second)
	g.Expect(w.stranded()).To(HaveEach(0))
	w.mu.Lock()
	w.lateShare = 0.3
	w.mu.Unlock()
	ids := make([]string, 0, len(w.machines))
	for id := range w.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for step := range 30 {
		w.mu.Lock()
		id := ids[w.random.IntN(len(ids))]
		kind := w.random.IntN(4)
		w.mu.Unlock()
		switch kind {
		case 0:
			w.restart(id)
		case 1:
			w.unlist(id, true)
		case 2:
			w.unlist(id, false)
		case 3:
			old := holders[current]
			old.mu.Lock()
			old.stale = w.roster()
			old.mu.Unlock()
			current = (current + 1) % len(holders)
			next := holders[current]
			next.mu.Lock()
			next.stale = nil
			next.mu.Unlock()
			next.set(uint64(step)+2, true)
			time.Sleep(700 * time.Millisecond)
			old.set(0, false)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	w.mu.Lock()
	w.lateShare = 0
	w.mu.Unlock()
	for _, id := range ids {
		w.unlist(id, false)
	}
	// Late orders take up to 12 s, and lost joins are given up after some seconds.
	time.Sleep(40 * time.Second)
	if len(w.violations) > 0 {
		t.Log(strings.Join(w.events, "\n"))
	}
	g.Expect(w.violations).To(BeEmpty())
	for _, m := range w.machines {
		if m.Membership.Phase != engine.Open && m.Membership.Phase != engine.Ready || m.Membership.Rank < 0 {
			t.Logf("%s %+v", m.ID, m.Membership)
		}
	}
	for _, g := range w.roster().Groups["llm"] {
		t.Log(g.ID, g.Model, len(g.Members), g.Serving(profile.Model(g.Model).Size))
	}
	// Fewer than the smallest group may be left over in a domain.
	g.Expect(w.stranded()).To(HaveEach(BeNumerically("<", 2)))
}

// restart ends an engine and starts it again with nothing in memory.
func (w *world) restart(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[id]
	w.note("%s restarts", id)
	m.StartedMs++
	m.Membership, m.members, m.seen, m.Model = engine.Membership{}, nil, 0, ""
}

func (w *world) unlist(id string, unlisted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("%s unlisted %v", id, unlisted)
	w.machines[id].unlisted = unlisted
}
