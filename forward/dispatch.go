package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/throttle"
)

// Peers provides the state that other nodes have reported. Implementations are safe
// for concurrent use.
type Peers interface {
	// Running returns the number of requests of other nodes at an instance.
	Running(instance string) int
	// Progress reports whether an instance is sending events to other nodes.
	Progress(instance string) bool
	// Evidence returns what other nodes have seen an instance fail and answer.
	Evidence(instance string) suspicion.Report
	// Demand returns the number of slots that the requests of other nodes for a model
	// would occupy.
	Demand(model string) float64
	// ArrivalRate returns the number of requests per second that arrive at other nodes for
	// a pool with a throttled target.
	ArrivalRate(service, model string) float64
	// Ahead returns the number of other nodes that have requests waiting for a group of
	// a model and that have precedence over this node at an instance.
	Ahead(model, instance string) int
	// Nodes returns the number of serving nodes, including this one.
	Nodes() int
	// ReportAge returns the usual age of what the other nodes have reported.
	ReportAge() time.Duration
}

// Errors of Acquire.
var (
	// ErrNoTarget is returned if no backend server can run the request now.
	ErrNoTarget = errors.New("no backend server can run the request")
	// ErrFull is returned if all slots are taken and the queue is too long.
	ErrFull = errors.New("all slots are taken")
)

// Dispatcher assigns the slots at backend servers to requests.
type Dispatcher struct {
	tables        *Tables
	peers         Peers
	failureDomain string
	throttle      *throttle.Registry

	mu      sync.Mutex
	waiting map[Pool][]*waiter
	// rechecking holds the pools with a running recheck goroutine.
	rechecking map[Pool]bool
	traffic    map[Pool]*traffic
}

// NewDispatcher returns a dispatcher for the targets of the current table. The failure
// domain is that of this node.
func NewDispatcher(tables *Tables, peers Peers, failureDomain string, registry *throttle.Registry) *Dispatcher {
	return &Dispatcher{tables: tables, peers: peers, failureDomain: failureDomain, throttle: registry, waiting: map[Pool][]*waiter{},
		rechecking: map[Pool]bool{}, traffic: map[Pool]*traffic{}}
}

// SlotRequest is a request for a slot.
type SlotRequest struct {
	Pool Pool
	// Rank orders waiting requests; lower ranks are served first.
	Rank int
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is the expected length of the response in tokens, 0 if unknown.
	OutputTokens int
	// Avoid holds the IDs of instances that were tried before.
	Avoid map[string]bool
	// Begun is true if the caller has received a part of the response.
	Begun bool
	// Once is true if the request must not be sent again if its target fails it.
	Once bool
	// GoalAt is the time after which the response is late.
	GoalAt time.Time
	// Goal is the latency goal, from the time at which the caller first asked until GoalAt.
	Goal time.Duration
	// EventGap is the longest time between two events of a stream that is on time; 0 if there
	// is no limit.
	EventGap time.Duration
	// Until is the time after which waiting is pointless.
	Until time.Time
	// Blocked reports whether the request must not be sent any more, and returns a channel
	// that is closed when that may have changed; nil if it never does.
	Blocked func() (bool, <-chan struct{})
}

func (r *SlotRequest) blocked() (bool, <-chan struct{}) {
	if r.Blocked == nil {
		return false, nil
	}
	return r.Blocked()
}

// Slot is an acquired slot at a target. It must be released exactly once.
type Slot struct {
	*Target
	// Own is the number of this node's requests at the target when the slot was
	// acquired.
	Own int
	// Others is the number of other nodes' requests at that time.
	Others     int
	acquiredAt time.Time
	// trial is true if the target was on trial when the slot was acquired.
	trial bool
	// detour is true if the request was sent through another node.
	detour   bool
	estimate slotEstimate
	// firstEventAt is when the first event arrived.
	firstEventAt time.Time
	// priority is the priority at the engine.
	priority   int
	dispatcher *Dispatcher
	// unreadPrompt is the number of prompt tokens still counted as unread at the target.
	unreadPrompt atomic.Int64
}

// TargetFull reports whether all slots of the target were already taken.
func (s *Slot) TargetFull() bool { return s.Own+s.Others > s.Slots }

// PromptRead records that the engine has read the prompt.
func (s *Slot) PromptRead() { s.Load.unreadPrompts.Add(-s.unreadPrompt.Swap(0)) }

// Release releases the slot and assigns it to a waiting request.
func (s *Slot) Release() {
	s.PromptRead()
	s.Load.running.Add(-1)
	if s.trial {
		s.Load.trials.Add(-1)
	}
	d := s.dispatcher
	d.mu.Lock()
	d.trafficOf(s.Pool).recordHoldTime(time.Duration(float64(time.Since(s.acquiredAt)) / s.Slowness))
	d.mu.Unlock()
	d.assignSlots(s.Pool)
}

// Acquire returns a slot for the request. It waits if all slots are taken.
func (d *Dispatcher) Acquire(ctx context.Context, r SlotRequest) (*Slot, error) {
	w := &waiter{
		key:      QueueKey{Begun: r.Begun, Rank: r.Rank, GoalAt: r.GoalAt},
		assigned: make(chan *Target, 1), avoid: r.Avoid, promptTokens: r.PromptTokens, once: r.Once, eventGap: r.EventGap,
	}
	d.mu.Lock()
	if r.Begun {
		d.trafficOf(r.Pool).recordResume(time.Now())
	} else {
		d.trafficOf(r.Pool).recordArrival(time.Now(), r.PromptTokens, time.Until(r.GoalAt))
		d.trafficOf(r.Pool).recordLengthHint(r.OutputTokens)
	}
	// A stream that its caller has a part of would be cut; a target may soon be back.
	if !r.Begun && len(d.tables.Load().Targets(r.Pool)) == 0 {
		d.trafficOf(r.Pool).recordRefusal(time.Now())
		d.mu.Unlock()
		return nil, d.noTargetError(r.Pool)
	}
	now, candidates := time.Now(), d.candidates(r.Pool)
	if err := d.admit(r, candidates, now); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	w.key.FirstEvent = candidates.admission.usualFirstEvent()
	var target *Target
	if permits := candidates.permitsFor(w); permits.throttled {
		var err error
		if target, err = d.acquireThrottled(r, w, candidates, permits, now); err != nil {
			d.mu.Unlock()
			return nil, err
		}
	} else if target = candidates.pick(w); target == nil {
		if at := candidates.freeAt(w, now); at.After(r.Until) {
			d.trafficOf(r.Pool).recordRefusal(now)
			d.mu.Unlock()
			return nil, &refusedError{retryAfter: at.Sub(now) + rand.N(returnSpread), err: fmt.Errorf("%w: no backend server takes requests of this node", ErrFull)}
		}
		if !now.Before(r.Until) {
			d.mu.Unlock()
			return nil, ErrFull
		}
		d.enqueue(r.Pool, w)
	}
	d.mu.Unlock()
	if target != nil {
		return d.newSlot(target, w), nil
	}
	return d.wait(ctx, r, w)
}

// ownDemand returns the number of slots that requests of this node hold or wait for. A
// slot at a slow target counts as the fraction of a slot that the request would take at
// a target of usual speed. The caller holds the lock.
func (d *Dispatcher) ownDemand(p Pool) float64 {
	demand := float64(len(d.waiting[p]))
	for _, t := range d.tables.Load().Targets(p) {
		demand += float64(t.Load.Running()) / t.Slowness
	}
	return demand
}

// trafficOf returns the traffic statistics of a pool. The caller holds the lock.
func (d *Dispatcher) trafficOf(p Pool) *traffic {
	if d.traffic[p] == nil {
		d.traffic[p] = &traffic{}
	}
	return d.traffic[p]
}

func (d *Dispatcher) newSlot(t *Target, w *waiter) *Slot {
	p := &Slot{Target: t, Own: t.Load.Running(), Others: d.peers.Running(t.Instance.ID),
		acquiredAt: time.Now(), trial: w.trial, estimate: w.estimate, dispatcher: d,
		priority: enginePriority(w, time.Now())}
	p.unreadPrompt.Store(int64(w.promptTokens))
	return p
}

// assignSlots assigns free slots to waiting requests.
func (d *Dispatcher) assignSlots(p Pool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.waiting[p]
	if len(queue) == 0 {
		delete(d.waiting, p)
		return
	}
	now := time.Now()
	slices.SortStableFunc(queue, func(a, b *waiter) int { return a.key.Compare(b.key, now) })
	stillWaiting := queue[:0]
	candidates := d.candidates(p)
	for _, w := range queue {
		if target, decided := candidates.decide(w); decided {
			w.assigned <- target
		} else {
			stillWaiting = append(stillWaiting, w)
		}
	}
	clear(queue[len(stillWaiting):])
	if d.waiting[p] = stillWaiting; len(stillWaiting) == 0 {
		delete(d.waiting, p)
	}
}

// Demand returns the number of slots that this node's requests for each pool would
// occupy, including refused ones.
func (d *Dispatcher) Demand() map[Pool]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	demand := make(map[Pool]float64, len(d.traffic))
	for p := range d.traffic {
		demand[p] = d.demand(p, now)
	}
	return demand
}

// demand returns the number of slots that this node's requests for a pool would occupy.
// The slots that they hold understate the load of groups that read long prompts: these
// are busy long before all their slots are taken. So the demand is at least what the
// requests take of the time of a group. The caller holds the lock.
func (d *Dispatcher) demand(p Pool, now time.Time) float64 {
	t := d.trafficOf(p)
	demand := t.demand(now, d.ownDemand(p))
	if e, found := d.tables.Load().engines[p]; found && t.events.known {
		demand = max(demand, e.slots(t.firstArrivalRate(now), t.promptTokens.value, t.events.value))
	}
	return demand
}

// RecordResponse records the number of events of a complete response.
func (d *Dispatcher) RecordResponse(p Pool, events int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trafficOf(p).events.add(float64(events))
}

// holdTime returns the average time for which requests of a pool hold a slot, 0 if unknown.
func (d *Dispatcher) holdTime(p Pool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.trafficOf(p).holdTime
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

// rank returns the rank of a request: by the organisation's priority, if it has one,
// and then by the route's.
func rank(r *catalog.Route, o *catalog.Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority*10 + r.Priority
	}
	return r.Priority * 10
}
