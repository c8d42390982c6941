package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
)

// Peers tells what other nodes have sent. Implementations are safe for
// concurrent use.
type Peers interface {
	// Running returns the requests of other nodes at an instance.
	Running(instance string) int
	// Progress reports whether an instance sends events to other nodes.
	Progress(instance string) bool
	// Suspected reports whether several other nodes found an instance silent.
	Suspected(instance string) bool
	// Demand returns the places that the requests of other nodes for a model would
	// occupy.
	Demand(model string) float64
	// Ahead returns the number of other nodes with requests that wait for a group of
	// a model and that come before this one at an instance.
	Ahead(model, instance string) int
	// Nodes returns the number of nodes that serve, this one among them.
	Nodes() int
}

// Errors of Acquire.
var (
	// ErrNoTarget means that no backend server can run the request now.
	ErrNoTarget = errors.New("no backend server for the request")
	// ErrFull means that every place is taken and the queue is too long.
	ErrFull = errors.New("all places are taken")
)

// recheckInterval is how often waiting requests look for a place that another
// node gave back.
const recheckInterval = 25 * time.Millisecond

// Dispatcher hands out the places at backend servers.
type Dispatcher struct {
	tables        *Tables
	peers         Peers
	failureDomain string

	mu      sync.Mutex
	waiting map[Pool][]*waiter
	// pumping holds the pools with a goroutine that looks for places.
	pumping map[Pool]bool
	flows   map[Pool]*flow
}

// waiter is a request that waits for a place.
type waiter struct {
	turn  Turn
	found chan *Target
	avoid map[string]bool
	// prompt is the length of the request's prompt in tokens.
	prompt int
}

// NewDispatcher returns a dispatcher over the newest table.
func NewDispatcher(tables *Tables, peers Peers, failureDomain string) *Dispatcher {
	return &Dispatcher{tables: tables, peers: peers, failureDomain: failureDomain, waiting: map[Pool][]*waiter{},
		pumping: map[Pool]bool{}, flows: map[Pool]*flow{}}
}

// Want is a request for a place.
type Want struct {
	Pool Pool
	// Rank orders waiting requests; lower ones go first.
	Rank int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Avoid names instances that were tried before.
	Avoid map[string]bool
	// Begun tells that the caller has a part of the answer.
	Begun bool
	// GoalAt is when the answer is late.
	GoalAt time.Time
	// Until is when waiting is of no use any more.
	Until time.Time
}

// Place is a taken place. It is released once.
type Place struct {
	*Target
	// Own and Others are the requests of this node and of the others at the target
	// when the place was taken.
	Own, Others int
	taken       time.Time
	dispatcher  *Dispatcher
	// prompt is the part of the prompt that counts as not read.
	prompt atomic.Int64
}

// Crowded reports whether the target's slots were all taken.
func (p *Place) Crowded() bool { return p.Own+p.Others > p.Slots }

// PromptRead tells that the engine has read the prompt.
func (p *Place) PromptRead() { p.Load.prompts.Add(-p.prompt.Swap(0)) }

// Release gives the place back.
func (p *Place) Release() {
	p.PromptRead()
	p.Load.running.Add(-1)
	d := p.dispatcher
	d.mu.Lock()
	d.flow(p.Pool).ended(time.Duration(float64(time.Since(p.taken)) / p.Slowness))
	d.mu.Unlock()
	d.serve(p.Pool)
}

// Acquire returns a place for the request, after a wait if all are taken.
func (d *Dispatcher) Acquire(ctx context.Context, w Want) (*Place, error) {
	me := &waiter{
		turn:  Turn{Begun: w.Begun, Rank: w.Rank, GoalAt: w.GoalAt},
		found: make(chan *Target, 1), avoid: w.Avoid, prompt: w.PromptTokens,
	}
	d.mu.Lock()
	if !w.Begun {
		d.flow(w.Pool).arrived(time.Now())
	}
	if len(d.tables.Load().Targets(w.Pool)) == 0 {
		d.flow(w.Pool).refuse(time.Now())
		d.mu.Unlock()
		return nil, ErrNoTarget
	}
	if target := d.field(w.Pool).pick(me); target != nil {
		d.mu.Unlock()
		return d.place(target, w.PromptTokens), nil
	}
	if !time.Now().Before(w.Until) {
		d.mu.Unlock()
		return nil, ErrFull
	}
	d.enqueue(w.Pool, me)
	d.mu.Unlock()
	return d.wait(ctx, w, me)
}

// wait waits for a place. When the answer can't be on time any more, the request
// waits on only if there is room for late ones.
func (d *Dispatcher) wait(ctx context.Context, w Want, me *waiter) (*Place, error) {
	limit := time.NewTimer(time.Until(w.Until))
	defer limit.Stop()
	late := time.NewTimer(max(time.Until(w.GoalAt.Add(-firstEventTime)), 0))
	defer late.Stop()
	for waiting := true; waiting; {
		select {
		case target := <-me.found:
			return d.place(target, w.PromptTokens), nil
		case <-late.C:
			waiting = w.Begun || d.hasRoomForLate(w.Pool, time.Until(w.Until))
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	if target := d.withdraw(w.Pool, me); target != nil {
		return d.place(target, w.PromptTokens), nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flow(w.Pool).refuse(time.Now())
	slots, demand := d.use(w.Pool, time.Now())
	return nil, fmt.Errorf("%w: demand of %.1f places for %d, %d more wait here", ErrFull, demand, slots, len(d.waiting[w.Pool]))
}

// hasRoomForLate reports whether a request that is late already will get a place
// within its patience.
func (d *Dispatcher) hasRoomForLate(p Pool, patience time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots, demand := d.use(p, time.Now())
	share := float64(slots) / float64(max(d.peers.Nodes(), 1))
	return d.flow(p).lateWait(demand, float64(slots), share, len(d.waiting[p])) <= patience
}

// use returns the slots of a pool's targets that aren't suspected, and the places
// that the requests of all nodes would occupy. Of plain services nodes tell only what
// they hold. The caller holds the lock.
func (d *Dispatcher) use(p Pool, now time.Time) (slots int, demand float64) {
	demand = d.flow(p).demand(now, d.held(p)) + d.peers.Demand(p.Model)
	for _, t := range d.tables.Load().Targets(p) {
		if !t.Load.Suspected(now) {
			slots += t.Slots
		}
		if p.Model == "" {
			demand += float64(d.peers.Running(t.Instance.ID))
		}
	}
	return slots, demand
}

// held returns the places that requests of this node have or wait for. One at a slow
// target counts as the part of a place that it would take at a usual one. The caller
// holds the lock.
func (d *Dispatcher) held(p Pool) float64 {
	held := float64(len(d.waiting[p]))
	for _, t := range d.tables.Load().Targets(p) {
		held += float64(t.Load.Running()) / t.Slowness
	}
	return held
}

// flow returns the measured flow of a pool; the caller holds the lock.
func (d *Dispatcher) flow(p Pool) *flow {
	if d.flows[p] == nil {
		d.flows[p] = &flow{}
	}
	return d.flows[p]
}

// pump looks for places that other nodes gave back, while requests wait. There is
// one for each pool at most.
func (d *Dispatcher) pump(p Pool) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		d.serve(p)
		d.mu.Lock()
		idle := len(d.waiting[p]) == 0
		if idle {
			delete(d.pumping, p)
		}
		d.mu.Unlock()
		if idle {
			return
		}
	}
}

func (d *Dispatcher) place(t *Target, prompt int) *Place {
	p := &Place{Target: t, Own: t.Load.Running(), Others: d.peers.Running(t.Instance.ID),
		taken: time.Now(), dispatcher: d}
	p.prompt.Store(int64(prompt))
	return p
}

// enqueue adds a waiter; the caller holds the lock.
func (d *Dispatcher) enqueue(p Pool, w *waiter) {
	d.waiting[p] = append(d.waiting[p], w)
	if !d.pumping[p] {
		d.pumping[p] = true
		go d.pump(p)
	}
}

// withdraw removes a waiter and returns the target it was given meanwhile.
func (d *Dispatcher) withdraw(p Pool, w *waiter) *Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := slices.Index(d.waiting[p], w); at >= 0 {
		d.waiting[p] = slices.Delete(d.waiting[p], at, at+1)
		return nil
	}
	return <-w.found
}

// serve gives free places to waiting requests.
func (d *Dispatcher) serve(p Pool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.waiting[p]
	if len(queue) == 0 {
		delete(d.waiting, p)
		return
	}
	now := time.Now()
	slices.SortStableFunc(queue, func(a, b *waiter) int { return a.turn.Compare(b.turn, now) })
	left := queue[:0]
	f := d.field(p)
	for _, w := range queue {
		if target := f.pick(w); target != nil {
			w.found <- target
		} else {
			left = append(left, w)
		}
	}
	clear(queue[len(left):])
	if d.waiting[p] = left; len(left) == 0 {
		delete(d.waiting, p)
	}
}

// Demand returns the places that the requests for each pool would occupy, those
// refused among them.
func (d *Dispatcher) Demand() map[Pool]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	demand := make(map[Pool]float64, len(d.flows))
	for p, f := range d.flows {
		demand[p] = f.demand(now, d.held(p))
	}
	return demand
}

// Waiting returns the number of waiting requests by pool.
func (d *Dispatcher) Waiting() map[Pool]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[Pool]int, len(d.waiting))
	for p, queue := range d.waiting {
		counts[p] = len(queue)
	}
	return counts
}

// rank orders requests: by the organisation's priority where it has one, else by
// the route's.
func rank(r *catalog.Route, o *catalog.Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority*10 + r.Priority
	}
	return r.Priority * 10
}
