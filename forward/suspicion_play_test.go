package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/suspicion"
)

// fault is how an engine fails a request.
type fault int

const (
	noFault fault = iota
	// resetEarly breaks the connection before the first event, resetLate in the middle.
	resetEarly
	resetLate
	// mute sends nothing.
	mute
	// dead refuses connections.
	dead
)

// doubtedEngine is an engine with faults.
type doubtedEngine struct {
	slots chan struct{}
	// fault returns how the engine fails a request that reaches it at a time since the start.
	fault func(at time.Duration, r *rand.Rand) fault
	// crashAt is when the engine crashes under its requests; zero if it doesn't.
	crashAt time.Duration
	// stopAt is when all its streams stop and it answers nothing more; zero if that never happens.
	stopAt time.Duration
	// sent are the times of the requests that it was sent.
	sent []time.Duration
}

// doubt is a deployment in which engines fail requests. It plays the load against the
// dispatchers of several nodes, which know each other's load and evidence by late reports.
type doubt struct {
	nodes   []*doubtedNode
	engines map[string]*doubtedEngine
	pool    Pool
	started time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	retries float64
	results []doubtResult
}

// doubtedNode is a node whose peers report which engines send events.
type doubtedNode struct {
	*saturatedNode
	mu       sync.Mutex
	progress map[string]bool
}

func (n *doubtedNode) Progress(instance string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.progress[instance]
}

// doubtResult is what a caller got.
type doubtResult struct {
	at      time.Duration
	outcome string
	sends   int
}

// Outcomes of requests.
const (
	inTime  = "in time"
	late    = "late"
	refused = "refused"
	failed  = "failed"
)

// Properties of the streams and of the failures. Responses are on time if they begin within
// the goal; callers leave after callerPatience without an event.
const (
	doubtGoal      = 300 * time.Millisecond
	callerPatience = 1600 * time.Millisecond
	doubtFirst     = 60 * time.Millisecond
	doubtEvent     = 50 * time.Millisecond
	doubtEvents    = 20
	// doubtStall is the time after which a stream without an event has stalled.
	doubtStall = 900 * time.Millisecond
	// doubtCheck is the time after which a node knows that an engine has crashed.
	doubtCheck = 25 * time.Millisecond
	// doubtRetryRatio and doubtRetryAllowance are the budget of all nodes.
	doubtRetryRatio     = 0.2
	doubtRetryAllowance = 50
)

func newDoubt(nodes, groups, slots int) *doubt {
	s := newSaturation(0, 0, slots)
	d := &doubt{engines: map[string]*doubtedEngine{}, pool: s.pool, rng: rand.New(rand.NewPCG(7, 8)), retries: doubtRetryAllowance}
	configuration := (&catalog.Configuration{Services: []catalog.Service{{Name: "llm",
		Engine: &catalog.EngineProfile{Slots: slots, Models: []catalog.Model{{Name: "m", Size: 1, TimeFactor: 1}}}}}}).Index()
	var instances []*engine.Instance
	for i := range groups {
		id := fmt.Sprint("i-", i)
		d.engines[id] = &doubtedEngine{slots: make(chan struct{}, slots), fault: func(time.Duration, *rand.Rand) fault { return noFault }}
		instances = append(instances, &engine.Instance{ID: id, Service: "llm", Slots: slots, FabricDomain: "f", Model: "m",
			Membership: engine.Membership{Group: fmt.Sprint("g", i), Epoch: 1, Phase: engine.Open}})
	}
	for i := range nodes {
		n := &doubtedNode{saturatedNode: &saturatedNode{name: fmt.Sprint("node-", i), tables: NewTables(), nodes: nodes}}
		n.others.Store(&othersReport{})
		n.tables.Build(configuration, engine.NewRoster(instances))
		n.dispatcher = NewDispatcher(n.tables, n, "z", newThrottle())
		d.nodes = append(d.nodes, n)
	}
	return d
}

// report delivers the states of all other nodes to every node after a delay, at an interval.
func (d *doubt) report(ctx context.Context, interval, delay time.Duration) {
	for ; ctx.Err() == nil; time.Sleep(interval) {
		now := time.Now()
		running, progress, seen := map[string]int{}, map[string]int{}, map[string]suspicion.Report{}
		demand := 0.0
		for _, n := range d.nodes {
			for _, t := range n.tables.Load().Targets(d.pool) {
				running[t.Instance.ID] += t.Load.Running()
				if t.Load.HasRecentProgress(now) {
					progress[t.Instance.ID]++
				}
				seen[t.Instance.ID] = seen[t.Instance.ID].Add(t.Load.Evidence(now).Report(n.Evidence(t.Instance.ID)))
			}
			demand += n.dispatcher.Demand()[d.pool]
		}
		for _, n := range d.nodes {
			view := &othersReport{running: map[string]int{}, evidence: map[string]suspicion.Report{}, demand: demand - n.dispatcher.Demand()[d.pool]}
			events := map[string]bool{}
			for _, t := range n.tables.Load().Targets(d.pool) {
				id := t.Instance.ID
				view.running[id] = running[id] - t.Load.Running()
				view.evidence[id] = seen[id].Without(t.Load.Evidence(now).Report(n.Evidence(id)))
				events[id] = progress[id] > 0
			}
			time.AfterFunc(delay, func() {
				n.others.Store(view)
				n.mu.Lock()
				n.progress = events
				n.mu.Unlock()
			})
		}
	}
}

// play sends requests at a rate that occupies the given fraction of all slots.
func (d *doubt) play(load float64, duration, interval, delay time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	go d.report(ctx, interval, delay)
	d.started = time.Now()
	slots := 0
	for _, e := range d.engines {
		slots += cap(e.slots)
	}
	between := float64(doubtFirst+doubtEvents*doubtEvent) / (load * float64(slots))
	var requests sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		d.mu.Lock()
		n, pause := d.nodes[d.rng.IntN(len(d.nodes))], time.Duration(d.rng.ExpFloat64()*between)
		d.retries += doubtRetryRatio
		d.mu.Unlock()
		requests.Go(func() { d.request(ctx, n) })
		time.Sleep(pause)
	}
	requests.Wait()
	cancel()
	time.Sleep(2*interval + delay)
}

// request is one caller's request at a node.
func (d *doubt) request(ctx context.Context, n *doubtedNode) {
	arrived, result := time.Now(), doubtResult{at: time.Since(d.started)}
	tried, events := map[string]bool{}, 0
	defer func() {
		d.mu.Lock()
		d.results = append(d.results, result)
		d.mu.Unlock()
	}()
	for {
		slot, err := n.dispatcher.Acquire(ctx, SlotRequest{Pool: d.pool, Avoid: tried, Begun: events > 0,
			GoalAt: arrived.Add(doubtGoal), Until: arrived.Add(callerPatience)})
		if err != nil {
			if result.outcome = refused; result.sends > 0 {
				result.outcome = failed
			}
			return
		}
		tried[slot.Instance.ID] = true
		result.sends++
		complete := d.attempt(n, slot, &events, func() {
			if result.outcome = inTime; time.Since(arrived) > doubtGoal {
				result.outcome = late
			}
		})
		slot.Release()
		if complete {
			return
		}
		d.mu.Lock()
		allowed := d.retries >= 1
		if allowed {
			d.retries--
		}
		d.mu.Unlock()
		if !allowed || result.sends > 2 || (events == 0 && time.Since(arrived) > callerPatience) {
			result.outcome = failed
			return
		}
	}
}

// attempt sends a request to an engine and reports whether the response is complete. begin is
// called at the first event that the caller gets.
func (d *doubt) attempt(n *doubtedNode, slot *Slot, events *int, begin func()) bool {
	e, load, at := d.engines[slot.Instance.ID], slot.Load, time.Since(d.started)
	d.mu.Lock()
	f, cut := e.fault(at, d.rng), d.rng.IntN(doubtEvents)
	e.sent = append(e.sent, at)
	d.mu.Unlock()
	down := func() bool { return e.crashAt > 0 && time.Since(d.started) >= e.crashAt }
	lost := func() bool {
		load.record.Failed(suspicion.Lost, time.Now())
		if down() {
			time.AfterFunc(doubtCheck, func() { load.record.Failed(suspicion.Gone, time.Now()) })
		}
		return false
	}
	stopped := func() bool { return e.stopAt > 0 && time.Since(d.started) >= e.stopAt }
	silent := func() bool {
		time.Sleep(doubtStall)
		load.record.Failed(silenceKind(slot), time.Now())
		return false
	}
	switch {
	case f == dead, down():
		load.record.Failed(suspicion.Gone, time.Now())
		return false
	case f == mute, stopped():
		return silent()
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	time.Sleep(doubtFirst)
	if f == resetEarly {
		return lost()
	}
	for i := 0; *events < doubtEvents; i++ {
		if down() || (f == resetLate && i == cut) {
			return lost()
		}
		if stopped() {
			return silent()
		}
		load.recordProgress(time.Now())
		if i == 0 {
			load.record.Began(time.Now())
		}
		if *events++; *events == 1 {
			begin()
		}
		time.Sleep(doubtEvent)
	}
	load.record.Answered(time.Now())
	return true
}

// shares returns the fractions of the outcomes of the requests that arrived in an interval.
func (d *doubt) shares(from, to time.Duration) map[string]float64 {
	shares, total := map[string]float64{}, 0.0
	for _, r := range d.results {
		if r.at >= from && r.at < to {
			shares[r.outcome]++
			total++
		}
	}
	for outcome := range shares {
		shares[outcome] /= total
	}
	return shares
}
