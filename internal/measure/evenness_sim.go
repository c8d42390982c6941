package measure

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/rendezvous"
)

const (
	evenWarmUp = 4 * time.Second
	evenEnd    = 14 * time.Second
	// evenPrompt and evenOutput are the mean lengths of a request in tokens.
	evenPrompt = 700
	evenOutput = 130
	// evenMaxWait is how long a request waits at a node for a free slot.
	evenMaxWait = 1600 * time.Millisecond
	evenRecheck = 25 * time.Millisecond
	evenSample  = 100 * time.Millisecond
	// evenDomains is the number of failure domains. Beyond evenDirectNodes, nodes report
	// to an aggregator of their domain, aggregators report to each other, and each tells
	// its nodes the sum of all others.
	evenDomains      = 3
	evenDirectNodes  = 12
	evenInterval     = 100 * time.Millisecond
	evenTransit      = 2 * time.Millisecond
	evenSpread       = 25 * time.Millisecond
	evenLateTransit  = 500 * time.Millisecond
	evenStateTTL     = time.Second
	evenChurnEvery   = 300 * time.Millisecond
	evenRestartAfter = 3 * time.Second
)

// evenCase is a deployment and its load.
type evenCase struct {
	name                 string
	nodes, groups, slots int
	// load is the ratio of the requests to those that all groups can complete.
	load float64
	// unevenPace is true if the groups differ in speed by up to 1.8.
	unevenPace bool
	// churn is true if nodes stop and start, and a tenth of them report late.
	churn bool
}

// evenReport is what a node or an aggregator reports.
type evenReport struct {
	at      time.Duration
	running []int
	waiting []int
	demand  int
}

func newEvenReport(groups int) *evenReport { return &evenReport{running: make([]int, groups)} }

// add adds another report, times sign.
func (r *evenReport) add(other *evenReport, sign int) {
	if other == nil {
		return
	}
	for g, n := range other.running {
		r.running[g] += sign * n
	}
	r.demand += sign * other.demand
	if sign > 0 {
		r.waiting = append(r.waiting, other.waiting...)
	}
}

// evenNode is a node: its requests at the groups, those that wait for a slot, and what it
// knows of the others.
type evenNode struct {
	index, domain int
	alive, late   bool
	own, unread   []int
	queue         []*evenRequest
	rechecking    bool
	others        *evenReport
	// arrived is what was last received of the others, lent the slots lent to the node with
	// its view, and subset the groups that it chooses among if each node has its own.
	arrived *evenReport
	lent    []int
	subset  []int
}

// evenRequest is a request and the group that it was sent to.
type evenRequest struct {
	simRequest
	at    *evenNode
	group int
}

// evenSim simulates nodes that choose among groups by outdated reports.
type evenSim struct {
	evenCase
	policy   evenPolicy
	rng      *rand.Rand
	now      time.Duration
	sequence uint64
	events   simEvents
	engines  []*simEngine
	nodes    []*evenNode
	// scores are the rendezvous scores of the nodes at the groups.
	scores  [][]uint64
	states  []*evenReport
	sums    [evenDomains]*evenReport
	crowded []time.Duration
	// hold is the mean time for which a request is at a group.
	hold    time.Duration
	byFirst map[*simRequest]*evenRequest
	result  evenResult
}

// evenResult holds the figures after the warm-up.
type evenResult struct {
	first                             *hdrhistogram.Histogram
	arrived, sent, refused, misplaced int
	busiest, spread                   float64
	samples                           int
}

func newEvenSim(c evenCase, policy evenPolicy, seed uint64) *evenSim {
	s := &evenSim{evenCase: c, policy: policy, rng: rand.New(rand.NewPCG(seed, 7)), hold: 1200 * time.Millisecond,
		crowded: make([]time.Duration, c.groups), states: make([]*evenReport, c.nodes), byFirst: map[*simRequest]*evenRequest{}}
	s.result.first = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for g := range c.groups {
		e := &simEngine{slowdown: 1, slots: c.slots, cache: newPrefixCache()}
		if c.unevenPace {
			e.slowdown = 0.8 + 0.64*float64(g)/float64(c.groups-1)
		}
		s.engines = append(s.engines, e)
	}
	for n := range c.nodes {
		node := &evenNode{index: n, domain: n % evenDomains, alive: true, late: c.churn && n%10 == 5, own: make([]int, c.groups),
			unread: make([]int, c.groups), others: newEvenReport(c.groups), lent: make([]int, c.groups)}
		scores := make([]uint64, c.groups)
		for g := range c.groups {
			scores[g] = rendezvous.Score(fmt.Sprint("group-", g), fmt.Sprint("node-", n))
			node.subset = append(node.subset, g)
		}
		slices.SortFunc(node.subset, func(a, b int) int {
			if scores[a] < scores[b] {
				return 1
			}
			return -1
		})
		node.subset = node.subset[:max(c.groups/evenSubset, 2)]
		s.nodes, s.scores = append(s.nodes, node), append(s.scores, scores)
	}
	return s
}

// capacity returns the requests per second that a group of usual pace completes.
func (s *evenSim) capacity() float64 {
	step := stepBase.Seconds() + float64(s.slots)*stepPerStream.Seconds()
	return 1 / (float64(evenOutput)/float64(s.slots)*step + evenPrompt*stepPerPromptToken.Seconds())
}

func (s *evenSim) schedule(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now + d, s.sequence, run})
}

// every runs f once per interval, at a random phase of it.
func (s *evenSim) every(interval time.Duration, f func()) {
	s.everyFrom(time.Duration(s.rng.Int64N(int64(interval))), interval, f)
}

// everyFrom runs f at a time and once per interval after it.
func (s *evenSim) everyFrom(first, interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		s.schedule(interval, again)
	}
	s.schedule(first, again)
}

// run runs the simulation to its end.
func (s *evenSim) run() {
	rate := 0.0
	for _, e := range s.engines {
		rate += s.load * s.capacity() / e.slowdown
	}
	var arrive func()
	arrive = func() {
		s.arrive()
		s.schedule(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.schedule(0, arrive)
	s.startReports()
	s.every(evenSample, s.sample)
	if s.churn {
		s.every(evenChurnEvery, s.restartNode)
	}
	for len(s.events) > 0 && s.events[0].at < evenEnd {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

// isMeasured reports whether a request arrived late enough, and early enough to get its
// first event before the end.
func (s *evenSim) isMeasured(r *evenRequest) bool {
	return r.arrived >= evenWarmUp && r.arrived < evenEnd-2*time.Second
}

func (s *evenSim) arrive() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	for !n.alive {
		n = s.nodes[s.rng.IntN(len(s.nodes))]
	}
	r := &evenRequest{at: n}
	r.arrived = s.now
	r.conversation = int(s.sequence)
	r.prompt = evenPrompt/2 + s.rng.IntN(evenPrompt)
	r.output = 1 + evenOutput/2 + s.rng.IntN(evenOutput)
	if s.isMeasured(r) {
		s.result.arrived++
	}
	if s.send(r) {
		return
	}
	n.queue = append(n.queue, r)
	if !n.rechecking {
		n.rechecking = true
		s.recheck(n)
	}
}

// recheck sends waiting requests of a node until none waits.
func (s *evenSim) recheck(n *evenNode) {
	s.schedule(evenRecheck, func() {
		s.assign(n)
		if n.rechecking = len(n.queue) > 0; n.rechecking {
			s.recheck(n)
		}
	})
}

// assign sends the waiting requests of a node for which there is a slot, and refuses those
// that have waited too long.
func (s *evenSim) assign(n *evenNode) {
	kept := n.queue[:0]
	for _, r := range n.queue {
		switch {
		case s.send(r):
		case s.now-r.arrived > evenMaxWait:
			s.refuse(r)
		default:
			kept = append(kept, r)
		}
	}
	n.queue = kept
}

func (s *evenSim) refuse(r *evenRequest) {
	if s.isMeasured(r) {
		s.result.refused++
		_ = s.result.first.RecordValue(evenMaxWait.Microseconds())
	}
}

// reportAge returns the usual age of a report, as the nodes estimate it.
func (s *evenSim) reportAge() time.Duration {
	if s.evenCase.nodes > evenDirectNodes {
		return 2 * evenInterval
	}
	return evenInterval
}

// candidates returns the groups as a node sees them, and the requests that the other nodes
// are expected to send until the reports show them.
func (s *evenSim) candidates(n *evenNode) ([]forward.Candidate, float64) {
	list := make([]forward.Candidate, s.groups)
	demand := n.others.demand + len(n.queue)
	for g := range list {
		list[g] = forward.Candidate{Requests: float64(n.own[g] + n.others.running[g]), PromptTokens: float64(n.unread[g]),
			Slots: s.slots, SameDomain: true}
		demand += n.own[g]
		for _, other := range n.others.waiting {
			if s.scores[other][g] > s.scores[n.index][g] {
				list[g].Ahead++
			}
		}
	}
	others := float64(len(s.nodes)-1) / float64(len(s.nodes))
	return list, others * float64(demand) * s.reportAge().Seconds() / s.hold.Seconds()
}

// send sends a request to the group that the policy chooses, and reports whether there is
// one.
func (s *evenSim) send(r *evenRequest) bool {
	n := r.at
	candidates, unreported := s.candidates(n)
	g := s.policy.choose(s, n, candidates, unreported)
	if g < 0 {
		return false
	}
	e := s.engines[g]
	if s.isMeasured(r) {
		s.result.sent++
		if !e.hasRoom() && slices.ContainsFunc(s.engines, (*simEngine).hasRoom) {
			s.result.misplaced++
		}
	}
	if !e.hasRoom() {
		s.crowded[g] = s.now
	}
	r.group, r.sent = g, s.now
	n.own[g]++
	n.unread[g] += r.prompt
	s.byFirst[&r.simRequest] = r
	e.add(&r.simRequest)
	if !e.busy {
		s.step(e)
	}
	return true
}

// hasRoom reports whether the engine would run another request at once.
func (e *simEngine) hasRoom() bool { return len(e.running)+len(e.waiting) < e.slots }

func (s *evenSim) step(e *simEngine) {
	s.schedule(e.beginStep(), func() {
		e.endStep(func(r *simRequest) { s.recordFirst(s.byFirst[r]) }, func(r *simRequest) { s.complete(s.byFirst[r]) })
		if len(e.running)+len(e.waiting) > 0 {
			s.step(e)
		}
	})
}

func (s *evenSim) recordFirst(r *evenRequest) {
	r.at.unread[r.group] -= r.prompt
	if s.isMeasured(r) {
		_ = s.result.first.RecordValue((s.now - r.arrived).Microseconds())
	}
}

// holdSmoothing is the weight of one request in the mean time at a group.
const holdSmoothing = 0.02

func (s *evenSim) complete(r *evenRequest) {
	delete(s.byFirst, &r.simRequest)
	s.hold += time.Duration(holdSmoothing * float64(s.now-r.sent-s.hold))
	r.at.own[r.group]--
	// The node assigns the slot to a waiting request.
	s.assign(r.at)
}

// sample adds the evenness of the groups at this moment to the figures.
func (s *evenSim) sample() {
	if s.now < evenWarmUp {
		return
	}
	var most, sum, squares float64
	for _, e := range s.engines {
		fill := float64(len(e.running) + len(e.waiting))
		most, sum, squares = max(most, fill), sum+fill, squares+fill*fill
	}
	mean := sum / float64(len(s.engines))
	s.result.busiest += most / mean
	s.result.spread += math.Sqrt(max(squares/float64(len(s.engines))-mean*mean, 0)) / mean
	s.result.samples++
}
