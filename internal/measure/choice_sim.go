package measure

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/route"
)

// Times of the simulation, all on simulated time.
const (
	simWarmUp     = 20 * time.Second
	simLast       = 34 * time.Second
	simEnd        = 36 * time.Second
	simFault      = 25 * time.Second
	probeEvery    = time.Second
	rebuildEvery  = route.DefaultMaxInterval
	lossAnnounced = 1100 * time.Millisecond
	stallChecked  = 500 * time.Millisecond
	refusedAfter  = 5 * time.Millisecond
	targetFirst   = 1700 * time.Millisecond
	targetBetween = 26 * time.Millisecond
	// reportsKept covers the oldest report that may still be on its way.
	reportsKept = 4
	// strangerChance is how often a caller uses another of its addresses.
	strangerChance = 0.25
	simService     = "llm"
)

// choiceCase is one system and one fault.
type choiceCase struct {
	name          string
	nodes, groups int
	// spread is the longest time for a report to reach a node.
	spread time.Duration
	// load multiplies the requests of the design point.
	load       float64
	stragglers int
	// space is the KV space of a group, in tokens.
	space int
	lost  bool
}

// simEvent happens at a moment of simulated time.
type simEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simNode is a deciding node with the real builder and policy.
type simNode struct {
	board   *blackboard.Board
	builder *route.Builder
	policy  route.Policy
	delays  []time.Duration
}

// choiceSim runs one policy on one case.
type choiceSim struct {
	choiceCase
	now     time.Duration
	order   uint64
	events  simEvents
	callers *population
	rng     *rand.Rand
	engines []*simEngine
	names   []string
	nodes   []*simNode
	lostAt  time.Duration
	// sent are the admitted requests of the measured time.
	sent   []*simRequest
	result choiceResult
	// admit decides at the entry; nil admits all.
	admit func(r *simRequest) bool
	// settle is called with each complete request.
	settle func(r *simRequest)
}

// choiceResult collects what callers saw after the warm-up.
type choiceResult struct {
	first, between *hdrhistogram.Histogram
	arrived        int
	good           int
	refused        int
	hit, prompt    float64
	servedAtStart  []float64
}

func newChoiceSim(c choiceCase, seed uint64, policy func(intN func(int) int) route.Policy) *choiceSim {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := &choiceSim{choiceCase: c, rng: rng, lostAt: math.MaxInt64,
		callers: newPopulation(rand.New(rand.NewPCG(seed, 1)), c.load*requestsPerGroup*float64(c.groups), c.nodes)}
	s.result.first = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	s.result.between = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	for i := range c.groups {
		e := &simEngine{slow: 1, space: c.space, cache: newPrefixCache()}
		if i < c.stragglers {
			e.slow = 2
		}
		s.engines = append(s.engines, e)
		s.names = append(s.names, fmt.Sprintf("g%02d", i))
		s.every(probeEvery, func() { s.report(e) })
	}
	configuration, placements := s.documents()
	for range c.nodes {
		n := &simNode{board: &blackboard.Board{}, policy: policy(rng.IntN)}
		n.board.Configuration.Publish(configuration)
		n.board.Placements.Publish(placements)
		n.builder = route.NewBuilder(route.Config{Now: s.clock}, n.board, metrics.NewRegistry())
		for range c.groups {
			n.delays = append(n.delays, 20*time.Millisecond+time.Duration(rng.Int64N(int64(c.spread))))
		}
		s.nodes = append(s.nodes, n)
		s.every(rebuildEvery, func() { s.rebuild(n) })
	}
	return s
}

// documents returns the configuration and the placement, with groups of one
// member because only rank 0 reports load.
func (s *choiceSim) documents() (*fleet.Configuration, *blackboard.Placements) {
	configuration := &fleet.Configuration{Services: []fleet.Service{{Name: simService, Kind: fleet.KindModel}}}
	var placement fleet.Placement
	for _, name := range s.names {
		configuration.Groups = append(configuration.Groups, fleet.Group{Name: name, Service: simService})
		placement.Groups = append(placement.Groups, fleet.PlacedGroup{Name: name, Service: simService, Generation: 1,
			Phase: fleet.PhaseServing, Members: []fleet.GroupMember{{Instance: name}}})
	}
	return configuration, &blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{"d": {Placement: placement}}}
}

func (s *choiceSim) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *choiceSim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{s.now + d, s.order, run})
}

// every runs f at a random phase of each interval.
func (s *choiceSim) every(interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		s.after(interval, again)
	}
	s.after(time.Duration(s.rng.Int64N(int64(interval))), again)
}

func (s *choiceSim) report(e *simEngine) {
	if e.dead {
		return
	}
	if len(e.reports) == reportsKept {
		e.reports = e.reports[1:]
	}
	e.reports = append(e.reports, simReport{s.now, e.queued, e.space - e.kv})
}

// rebuild publishes the reports that have reached the node and builds its table.
func (s *choiceSim) rebuild(n *simNode) {
	evidence := &blackboard.Evidence{ByInstance: make(map[string]blackboard.Observation, len(s.engines))}
	for i, e := range s.engines {
		if e.dead && s.now > s.lostAt+lossAnnounced {
			continue
		}
		for j := len(e.reports) - 1; j >= 0; j-- {
			r := e.reports[j]
			if r.at+n.delays[i] > s.now {
				continue
			}
			evidence.ByInstance[s.names[i]] = blackboard.Observation{ObservedAt: time.Unix(1000, 0).Add(r.at),
				Report: fleet.Report{Instance: s.names[i], Group: s.names[i], Generation: 1, Size: 1, Service: simService,
					State: fleet.EngineReady, QueuedPromptTokens: r.queued, FreeKVTokens: r.free}}
			break
		}
	}
	n.board.Evidence.Publish(evidence)
	n.builder.Build()
}

// run runs to the end of the case.
func (s *choiceSim) run() {
	for i := range s.callers.speakers {
		speaker := &s.callers.speakers[i]
		// The first turns are spread over one interval; reports come first.
		wait := 3*time.Second + time.Duration(s.rng.Int64N(int64(thinkMin+thinkMean)))
		s.after(wait, func() { s.speak(speaker) })
	}
	s.after(simWarmUp, func() {
		for _, e := range s.engines {
			s.result.servedAtStart = append(s.result.servedAtStart, e.served)
		}
	})
	if s.lost {
		s.after(simFault, func() { s.lose(len(s.engines) - 1) })
	}
	for len(s.events) > 0 && s.events[0].at <= simEnd {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	s.judge()
}

func (s *choiceSim) speak(caller *speaker) {
	t, next := s.callers.take(caller)
	s.after(next, func() { s.speak(caller) })
	r := &simRequest{turn: t, node: caller.home, arrived: s.now}
	if s.rng.Float64() < strangerChance {
		r.node = s.rng.IntN(len(s.nodes))
	}
	if s.counts(r) {
		s.result.arrived++
	}
	if s.admit != nil && !s.admit(r) {
		if s.counts(r) {
			s.result.refused++
		}
		return
	}
	if s.counts(r) {
		s.sent = append(s.sent, r)
	}
	s.send(r, nil)
}

// counts reports whether r belongs to the measured time. The last requests had
// no time to miss the target for the first token.
func (s *choiceSim) counts(r *simRequest) bool {
	return r.arrived >= simWarmUp && r.arrived < simLast
}

// send chooses a group as the gateway does and sends the request.
func (s *choiceSim) send(r *simRequest, tried []string) {
	n := s.nodes[r.node]
	service := n.builder.Table.Load().Service(simService)
	targets := service.Fresh(s.clock(), tried)
	if len(targets) == 0 {
		s.after(stallChecked, func() { s.send(r, nil) })
		return
	}
	target := n.policy.Choose(targets, route.Request{Prefix: r.prefix}, s.clock())
	target.Tracker.Add(r.prompt + r.produced + askedTokens)
	e := s.engine(target.Name)
	r.attempts++
	r.sent = s.now
	if e.dead {
		s.after(refusedAfter, func() { s.send(r, append(tried, target.Name)) })
		return
	}
	hit := e.add(r)
	if s.counts(r) {
		s.result.hit += float64(hit)
		s.result.prompt += float64(r.prompt + r.produced)
	}
	if !e.busy {
		s.step(e, target.Name)
	}
}

func (s *choiceSim) engine(name string) *simEngine {
	var i int
	_, _ = fmt.Sscanf(name, "g%d", &i)
	return s.engines[i]
}

// step runs steps of an engine while it has work.
func (s *choiceSim) step(e *simEngine, name string) {
	streams := len(e.running)
	duration := e.begin()
	s.after(duration, func() {
		if e.dead {
			return
		}
		if s.now >= simWarmUp && streams > 0 {
			_ = s.result.between.RecordValues(duration.Microseconds(), int64(streams))
		}
		e.end(func(r *simRequest) { s.started(r, name) }, s.done)
		if len(e.running)+len(e.waiting) > 0 {
			s.step(e, name)
		}
	})
}

// started records the first token of an attempt.
func (s *choiceSim) started(r *simRequest, name string) {
	for _, t := range s.nodes[r.node].builder.Table.Load().Service(simService).Targets {
		if t.Name == name {
			t.Tracker.FirstToken(s.now - r.sent)
		}
	}
	if r.first == 0 {
		r.first = s.now
	}
}

// done records a complete answer as the caller saw it.
func (s *choiceSim) done(r *simRequest) {
	r.ended = s.now
	if s.settle != nil {
		s.settle(r)
	}
}

// isGood tells whether an answer met both targets at the entry. A request that
// still runs at the end counts by what its caller has until then.
func (s *choiceSim) isGood(r *simRequest) bool {
	if r.first == 0 || r.first-r.arrived > targetFirst {
		return false
	}
	ended := r.ended
	if ended == 0 {
		ended = simEnd
	}
	return (ended-r.first)/time.Duration(max(r.produced-1, 1)) <= targetBetween
}

// judge fills the result once the simulation ended. A request without a first
// token counts with the time that it waited.
func (s *choiceSim) judge() {
	for _, r := range s.sent {
		first := r.first
		if first == 0 {
			first = simEnd
		}
		_ = s.result.first.RecordValue((first - r.arrived).Microseconds())
		if s.isGood(r) {
			s.result.good++
		}
	}
}

// lose ends a group; its streams resume elsewhere from the tokens delivered.
func (s *choiceSim) lose(i int) {
	e := s.engines[i]
	e.dead, s.lostAt = true, s.now
	for _, r := range append(e.running, e.waiting...) {
		s.after(stallChecked, func() {
			if r.produced > 0 && s.counts(r) {
				_ = s.result.between.RecordValue(stallChecked.Microseconds())
			}
			s.send(r, []string{s.names[i]})
		})
	}
}
