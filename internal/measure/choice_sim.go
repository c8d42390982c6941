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

// Times of the simulation, all in simulated time.
const (
	simWarmUp           = 20 * time.Second // start of the measured time
	simMeasureEnd       = 34 * time.Second // end of the measured arrivals
	simEnd              = 36 * time.Second
	simFaultAt          = 25 * time.Second         // time at which a group is lost
	probeInterval       = time.Second              // between two load reports of an engine
	rebuildInterval     = route.DefaultMaxInterval // between two builds of a routing table
	lossDetectionTime   = 1100 * time.Millisecond  // until nodes drop a lost group's evidence
	stallCheckDelay     = 500 * time.Millisecond   // until a stalled or unroutable request is sent again
	refusalDelay        = 5 * time.Millisecond     // until an attempt at a lost group fails
	targetFirstToken    = 1700 * time.Millisecond  // longest good time to first token
	targetTokenInterval = 26 * time.Millisecond    // longest good mean time between tokens
	// maxReports is the number of reports kept of an engine. It covers the oldest one
	// that may still be on its way to a node.
	maxReports = 4
	// otherNodeProbability is the probability that a caller uses a random node in
	// place of its home node.
	otherNodeProbability = 0.25
	simService           = "llm"
)

// choiceCase is one system size and one fault.
type choiceCase struct {
	name          string
	nodes, groups int
	// reportDelay is the longest time for a report to reach a node, beyond the shortest
	// of 20 ms.
	reportDelay time.Duration
	// loadFactor multiplies the request rate of the design point.
	loadFactor float64
	// stragglers is the number of groups that run at half speed.
	stragglers int
	// kvCapacity is the KV cache capacity of a group, in tokens.
	kvCapacity int
	groupLost  bool
}

// simEvent is a function that runs at a simulated time. Events at the same time run
// in the order of their sequence numbers.
type simEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// simEvents is a heap of events with the earliest one first.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simNode is a node that chooses groups with the real routing table and policy.
type simNode struct {
	board   *blackboard.Board
	builder *route.Builder
	policy  route.Policy
	// delays are the times that reports of each engine take to reach the node.
	delays []time.Duration
}

// choiceSim runs one policy on one case.
type choiceSim struct {
	choiceCase
	now        time.Duration
	sequence   uint64
	events     simEvents
	population *population
	rng        *rand.Rand
	engines    []*simEngine
	names      []string
	nodes      []*simNode
	lostAt     time.Duration
	// admitted are the admitted requests of the measured time.
	admitted []*simRequest
	result   choiceResult
	// admit decides on the admission at the node; nil admits all requests.
	admit func(r *simRequest) bool
	// onComplete, if set, is called with each complete request.
	onComplete func(r *simRequest)
}

// choiceResult holds the results as callers see them, after the warm-up.
type choiceResult struct {
	first, between                   *hdrhistogram.Histogram
	arrived                          int
	good                             int
	refused                          int
	cachedPromptTokens, promptTokens float64
	servedAtWarmUp                   []float64
}

func newChoiceSim(c choiceCase, seed uint64, policy func(intN func(int) int) route.Policy) *choiceSim {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := &choiceSim{choiceCase: c, rng: rng, lostAt: math.MaxInt64,
		population: newPopulation(rand.New(rand.NewPCG(seed, 1)), c.loadFactor*requestsPerGroup*float64(c.groups), c.nodes)}
	s.result.first = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	s.result.between = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	for i := range c.groups {
		e := &simEngine{slots: decodeSlots, slowdown: 1, kvCapacity: c.kvCapacity, cache: newPrefixCache()}
		if i < c.stragglers {
			e.slowdown = 2
		}
		s.engines = append(s.engines, e)
		s.names = append(s.names, fmt.Sprintf("g%02d", i))
		s.scheduleEvery(probeInterval, func() { s.report(e) })
	}
	configuration, placements := s.documents()
	for range c.nodes {
		n := &simNode{board: &blackboard.Board{}, policy: policy(rng.IntN)}
		n.board.Configuration.Publish(configuration)
		n.board.Placements.Publish(placements)
		n.builder = route.NewBuilder(route.Config{Now: s.clock}, n.board, metrics.NewRegistry())
		for range c.groups {
			n.delays = append(n.delays, 20*time.Millisecond+time.Duration(rng.Int64N(int64(c.reportDelay))))
		}
		s.nodes = append(s.nodes, n)
		s.scheduleEvery(rebuildInterval, func() { s.rebuild(n) })
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

// schedule runs run after d of simulated time.
func (s *choiceSim) schedule(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now + d, s.sequence, run})
}

// scheduleEvery runs f once per interval, at a random phase of it.
func (s *choiceSim) scheduleEvery(interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		s.schedule(interval, again)
	}
	s.schedule(time.Duration(s.rng.Int64N(int64(interval))), again)
}

func (s *choiceSim) report(e *simEngine) {
	if e.dead {
		return
	}
	if len(e.reports) == maxReports {
		e.reports = e.reports[1:]
	}
	e.reports = append(e.reports, simReport{s.now, e.queuedTokens, e.kvCapacity - e.kvUsed})
}

// rebuild publishes the reports that have reached the node and builds its table.
func (s *choiceSim) rebuild(n *simNode) {
	evidence := &blackboard.Evidence{ByInstance: make(map[string]blackboard.Observation, len(s.engines))}
	for i, e := range s.engines {
		if e.dead && s.now > s.lostAt+lossDetectionTime {
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

// run runs the simulation to the end of the case.
func (s *choiceSim) run() {
	for i := range s.population.callers {
		c := &s.population.callers[i]
		// The first turns are spread over one mean think time, after the first reports.
		wait := 3*time.Second + time.Duration(s.rng.Int64N(int64(thinkMin+thinkMean)))
		s.schedule(wait, func() { s.startTurn(c) })
	}
	s.schedule(simWarmUp, func() {
		for _, e := range s.engines {
			s.result.servedAtWarmUp = append(s.result.servedAtWarmUp, e.servedTokens)
		}
	})
	if s.groupLost {
		s.schedule(simFaultAt, func() { s.failGroup(len(s.engines) - 1) })
	}
	for len(s.events) > 0 && s.events[0].at <= simEnd {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	s.evaluate()
}

func (s *choiceSim) startTurn(c *simCaller) {
	t, next := s.population.nextRequest(c)
	s.schedule(next, func() { s.startTurn(c) })
	r := &simRequest{turn: t, node: c.homeNode, arrived: s.now}
	if s.rng.Float64() < otherNodeProbability {
		r.node = s.rng.IntN(len(s.nodes))
	}
	if s.isMeasured(r) {
		s.result.arrived++
	}
	if s.admit != nil && !s.admit(r) {
		if s.isMeasured(r) {
			s.result.refused++
		}
		return
	}
	if s.isMeasured(r) {
		s.admitted = append(s.admitted, r)
	}
	s.send(r, nil)
}

// isMeasured reports whether r arrived within the measured time. The last requests
// are left out, because the simulation ends before they could miss the target for
// the first token.
func (s *choiceSim) isMeasured(r *simRequest) bool {
	return r.arrived >= simWarmUp && r.arrived < simMeasureEnd
}

// send chooses a group as the gateway does and sends the request.
func (s *choiceSim) send(r *simRequest, tried []string) {
	n := s.nodes[r.node]
	service := n.builder.Table.Load().Service(simService)
	targets := service.Fresh(s.clock(), tried)
	if len(targets) == 0 {
		s.schedule(stallCheckDelay, func() { s.send(r, nil) })
		return
	}
	target := n.policy.Choose(targets, route.Request{Prefix: r.prefix}, s.clock())
	target.Tracker.Add(r.prompt + r.produced + maxOutputTokens)
	e := s.engineByName(target.Name)
	r.attempts++
	r.sent = s.now
	if e.dead {
		s.schedule(refusalDelay, func() { s.send(r, append(tried, target.Name)) })
		return
	}
	hit := e.add(r)
	if s.isMeasured(r) {
		s.result.cachedPromptTokens += float64(hit)
		s.result.promptTokens += float64(r.prompt + r.produced)
	}
	if !e.busy {
		s.step(e, target.Name)
	}
}

func (s *choiceSim) engineByName(name string) *simEngine {
	var i int
	_, _ = fmt.Sscanf(name, "g%d", &i)
	return s.engines[i]
}

// step runs one step of an engine after another while it has work.
func (s *choiceSim) step(e *simEngine, name string) {
	streams := len(e.running)
	duration := e.beginStep()
	s.schedule(duration, func() {
		if e.dead {
			return
		}
		if s.now >= simWarmUp && streams > 0 {
			_ = s.result.between.RecordValues(duration.Microseconds(), int64(streams))
		}
		e.endStep(func(r *simRequest) { s.recordFirstToken(r, name) }, s.recordCompletion)
		if len(e.running)+len(e.waiting) > 0 {
			s.step(e, name)
		}
	})
}

// recordFirstToken records the first token of an attempt.
func (s *choiceSim) recordFirstToken(r *simRequest, name string) {
	for _, t := range s.nodes[r.node].builder.Table.Load().Service(simService).Targets {
		if t.Name == name {
			t.Tracker.FirstToken(s.now - r.sent)
		}
	}
	if r.first == 0 {
		r.first = s.now
	}
}

// recordCompletion records the time at which an answer was complete.
func (s *choiceSim) recordCompletion(r *simRequest) {
	r.ended = s.now
	if s.onComplete != nil {
		s.onComplete(r)
	}
}

// metTargets reports whether a request met the targets for the first token and
// between tokens, measured from its arrival at the node. A request that still runs
// at the end is judged by the tokens that its caller has received until then.
func (s *choiceSim) metTargets(r *simRequest) bool {
	if r.first == 0 || r.first-r.arrived > targetFirstToken {
		return false
	}
	ended := r.ended
	if ended == 0 {
		ended = simEnd
	}
	return (ended-r.first)/time.Duration(max(r.produced-1, 1)) <= targetTokenInterval
}

// evaluate computes the result after the end of the simulation. A request without a
// first token counts with the time that it has waited.
func (s *choiceSim) evaluate() {
	for _, r := range s.admitted {
		first := r.first
		if first == 0 {
			first = simEnd
		}
		_ = s.result.first.RecordValue((first - r.arrived).Microseconds())
		if s.metTargets(r) {
			s.result.good++
		}
	}
}

// failGroup stops a group. Its streams resume on other groups after the tokens
// already delivered.
func (s *choiceSim) failGroup(i int) {
	e := s.engines[i]
	e.dead, s.lostAt = true, s.now
	for _, r := range append(e.running, e.waiting...) {
		s.schedule(stallCheckDelay, func() {
			if r.produced > 0 && s.isMeasured(r) {
				_ = s.result.between.RecordValue(stallCheckDelay.Microseconds())
			}
			s.send(r, []string{s.names[i]})
		})
	}
}
