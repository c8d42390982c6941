package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	simulationStep = 10 * time.Millisecond
	// exchangeInterval is the time between two reports of a node to the others.
	exchangeInterval = 200 * time.Millisecond
	// detectionTime is the time until a node knows that a server crashed.
	detectionTime = 25 * time.Millisecond
	// stabilityWindow is the time after the third crash from which further ones are limited.
	stabilityWindow = 3 * time.Second
)

// load is a request that is sent again and again.
type load struct {
	id        string
	perSecond float64
	work      time.Duration
	// status returns the status of the response.
	status func(*rand.Rand) int
	// deadly is true if each server that begins to run it crashes.
	deadly bool

	sent, refused int
	// crashed is when servers crashed under it, if it is deadly.
	crashed []time.Time
	// late is the number of its runs after the third crash and the stability window.
	late int
}

// run is a request in progress at a server.
type run struct {
	*load
	node     *Guard
	server   int
	endsAt   time.Time
	attempts int
}

// simulation is nodes and servers under loads.
type simulation struct {
	*clock
	rng     *rand.Rand
	nodes   []*Guard
	loads   []*load
	running []*run
	// starts counts the starts of each server and upAt is when it is up again.
	starts []int
	upAt   []time.Time
	// detected are the crashes that nodes will know.
	detected []func()
	dueAt    []time.Time
}

func newSimulation(seed uint64, servers int, loads ...*load) *simulation {
	s := &simulation{clock: &clock{time: time.Unix(1e9, 0)}, rng: rand.New(rand.NewPCG(seed, 1)), loads: loads,
		starts: make([]int, servers), upAt: make([]time.Time, servers)}
	for range 3 {
		s.nodes = append(s.nodes, newGuard(s.clock))
	}
	return s
}

// send sends a request to a server that is up, if there is one.
func (s *simulation) send(l *load, node *Guard, attempts int) {
	var up []int
	for i, at := range s.upAt {
		if !at.After(s.time) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	r := &run{l, node, up[s.rng.IntN(len(up))], s.time.Add(l.work), attempts}
	s.running = append(s.running, r)
	if !l.deadly {
		return
	}
	if len(l.crashed) >= 3 && s.time.Sub(l.crashed[2]) > stabilityWindow {
		l.late++
	}
	l.crashed = append(l.crashed, s.time)
	s.crash(r.server)
}

// crash ends a server and what runs there. The nodes find out and repeat the requests once.
func (s *simulation) crash(server int) {
	if s.upAt[server].After(s.time) {
		return
	}
	name, at := fmt.Sprint("server-", server, "-", s.starts[server]), s.time
	s.starts[server]++
	s.upAt[server] = s.time.Add(4500 * time.Millisecond)
	var rest []*run
	for _, r := range s.running {
		if r.server != server {
			rest = append(rest, r)
			continue
		}
		s.detected = append(s.detected, func() {
			subject := request(r.id)
			subject.EarlierAttempts = r.attempts
			r.node.Crashed(name, 1, subject, false, at)
			if r.attempts == 0 && r.node.Match(subject) == nil {
				s.send(r.load, r.node, 1)
			}
		})
		s.dueAt = append(s.dueAt, s.time.Add(detectionTime))
	}
	s.running = rest
}

func (s *simulation) step() {
	for len(s.dueAt) > 0 && !s.dueAt[0].After(s.time) {
		due := s.detected[0]
		s.detected, s.dueAt = s.detected[1:], s.dueAt[1:]
		due()
	}
	running := s.running
	s.running = nil
	for _, r := range running {
		if r.endsAt.After(s.time) {
			s.running = append(s.running, r)
			continue
		}
		r.node.Responded(request(r.id), r.status(s.rng))
	}
	for _, l := range s.loads {
		for expected := l.perSecond * simulationStep.Seconds(); expected > 0; expected-- {
			if s.rng.Float64() >= expected {
				continue
			}
			node := s.nodes[s.rng.IntN(len(s.nodes))]
			l.sent++
			switch {
			case node.Match(request(l.id)) == nil:
				s.send(l, node, 0)
			case node.TakeTrial(request(l.id)):
				s.send(l, node, 1)
			default:
				l.refused++
			}
		}
	}
	s.advance(simulationStep)
}

// run simulates a duration, calling each with the time passed after each step.
func (s *simulation) run(d time.Duration, each func(time.Duration)) {
	for passed := time.Duration(0); passed < d; passed += simulationStep {
		if passed%exchangeInterval == 0 {
			for i, from := range s.nodes {
				report := from.Report()
				for j, to := range s.nodes {
					if i != j {
						to.Absorb(report)
					}
				}
			}
		}
		each(passed)
		s.step()
	}
}

func always(status int) func(*rand.Rand) int { return func(*rand.Rand) int { return status } }

// mostly returns a status of which one response in ten is another.
func mostly(status, other int) func(*rand.Rand) int {
	return func(rng *rand.Rand) int {
		if rng.IntN(10) == 0 {
			return other
		}
		return status
	}
}

// Patterns of crashes that no request causes.
var (
	inTurn = func(s *simulation, passed time.Duration) {
		if passed%(8*time.Second) == 6*time.Second {
			s.crash(int(passed/(8*time.Second)) % len(s.starts))
		}
	}
	oneServer = func(s *simulation, passed time.Duration) {
		if passed%(5*time.Second) == 0 {
			s.crash(0)
		}
	}
	staggered = func(s *simulation, passed time.Duration) {
		if at := passed % (20 * time.Second); at%(700*time.Millisecond) == 0 {
			if i := int(at / (700 * time.Millisecond)); i < len(s.starts)-1 {
				s.crash(i)
			}
		}
	}
)

var _ = Describe("Guard beside crashes by chance", func() {
	DescribeTable("refuses a sound request in less than 5 cases and one in 500",
		func(servers int, perSecond float64, work time.Duration, status func(*rand.Rand) int, crash func(*simulation, time.Duration)) {
			// Guards against blaming a request that is asked for often for the crashes under which it
			// was there by chance (DENIED).
			for seed := range uint64(3) {
				poll := &load{id: "poll", perSecond: perSecond, work: work, status: status}
				s := newSimulation(seed, servers, poll)
				s.run(60*time.Second, func(passed time.Duration) { crash(s, passed) })
				Expect(poll.sent).To(BeNumerically(">", 20))
				Expect(poll.refused).To(BeNumerically("<=", 5+poll.sent/500), "seed %d, %d sent", seed, poll.sent)
			}
		},
		Entry("404, one of three servers down at a time", 3, 200.0, 30*time.Millisecond, always(404), inTurn),
		Entry("404 now and then", 3, 2.0, 30*time.Millisecond, always(404), inTurn),
		Entry("404, one server again and again", 3, 200.0, 30*time.Millisecond, always(404), oneServer),
		Entry("404, all but one within two seconds", 6, 200.0, 30*time.Millisecond, always(404), staggered),
		Entry("404 beside refusals", 3, 200.0, 30*time.Millisecond, mostly(503, 404), inTurn),
		Entry("success", 3, 200.0, 30*time.Millisecond, always(200), staggered),
		Entry("success, long responses", 6, 3.0, 2*time.Second, always(200), staggered),
		Entry("404, long responses, one server again and again", 3, 1.0, 4*time.Second, always(404), oneServer),
		Entry("500, one of three servers down at a time", 3, 200.0, 30*time.Millisecond, always(500), inTurn),
		Entry("500, one server again and again", 3, 20.0, 30*time.Millisecond, always(500), oneServer),
		Entry("500, all but one within two seconds", 6, 200.0, 30*time.Millisecond, always(500), staggered),
		Entry("500, long responses", 3, 20.0, time.Second, always(500), inTurn),
	)

	DescribeTable("refuses a request that crashes servers, and no sound one beside it",
		func(perSecond float64, status int, crash func(*simulation, time.Duration)) {
			// Guards against retries that crash one server after the other (BUDGET).
			for seed := range uint64(3) {
				deadly := &load{id: "deadly", perSecond: perSecond, deadly: true, status: always(200)}
				poll := &load{id: "poll", perSecond: 100, work: 30 * time.Millisecond, status: always(status)}
				s := newSimulation(seed, 30, deadly, poll)
				s.run(40*time.Second, func(passed time.Duration) { crash(s, passed) })
				Expect(deadly.crashed).NotTo(BeEmpty())
				Expect(deadly.late).To(BeNumerically("<=", 3), "seed %d, runs of %d after the stability window", seed, len(deadly.crashed))
				Expect(poll.refused).To(BeNumerically("<=", 5+poll.sent/500), "seed %d, %d sent", seed, poll.sent)
			}
		},
		Entry("rare, beside 404", 0.3, 404, inTurn),
		Entry("frequent, beside 404", 5.0, 404, inTurn),
		Entry("frequent, beside 500 and staggered crashes", 5.0, 500, staggered),
	)
})
