package forward

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
)

// callerClass is a kind of request.
type callerClass struct {
	name           string
	share          float64
	goal, eventGap time.Duration
	rank           int
	prompt         float64
	spread         float64
	events         float64
}

// shortageSite is a deployment for which more requests arrive than it can answer.
type shortageSite struct {
	name          string
	nodes, groups int
	profile       catalog.EngineProfile
	classes       []callerClass
	// load returns the arrivals, relative to what the groups can complete.
	load     func(at time.Duration) float64
	duration time.Duration
	// Requests that callers begin between from and to count.
	from, to time.Duration
	// overloaded is true if more requests arrive then than the groups can answer.
	overloaded bool
}

// shortageResult is what the callers of a class get.
type shortageResult struct {
	asked, onTime, late, refused int
	largeAsked, largeServed      int
}

func (r *shortageResult) add(o shortageResult) {
	r.asked += o.asked
	r.onTime += o.onTime
	r.late += o.late
	r.refused += o.refused
	r.largeAsked += o.largeAsked
	r.largeServed += o.largeServed
}

func (r *shortageResult) servedFraction() float64 {
	return float64(r.onTime+r.late) / math.Max(float64(r.asked), 1)
}

func (r *shortageResult) String() string {
	return fmt.Sprintf("%d asked, %d on time, %d late, %d refused; of the largest tenth %d of %d served", r.asked, r.onTime, r.late, r.refused, r.largeServed, r.largeAsked)
}

// draw returns a lognormal number with the given mean.
func draw(rng *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
}

// playShortage plays the load and returns what the callers of each class get. Without estimates,
// slots alone decide.
func playShortage(site shortageSite, estimates bool) map[string]*shortageResult {
	s := &saturation{rng: rand.New(rand.NewPCG(5, 6)), pool: Pool{Service: "llm", Model: "m"}}
	profile := site.profile
	profile.Models = []catalog.Model{{Name: "m", Size: 1, TimeFactor: 1}}
	configuration := (&catalog.Configuration{Services: []catalog.Service{{Name: "llm", Engine: &profile}}}).Index()
	var instances []*engine.Instance
	engines := map[string]*batchEngine{}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range site.groups {
		id := fmt.Sprint("i-", i)
		engines[id] = newBatchEngine(&profile, 1)
		go engines[id].run(ctx)
		instances = append(instances, &engine.Instance{ID: id, Service: "llm", Slots: profile.Slots, FabricDomain: "f", Model: "m",
			Membership: engine.Membership{Group: fmt.Sprint("g", i), Epoch: 1, Phase: engine.Open}})
	}
	for i := range site.nodes {
		n := &saturatedNode{name: fmt.Sprint("node-", i), tables: NewTables(), nodes: site.nodes}
		n.others.Store(&othersReport{})
		n.tables.Build(configuration, engine.NewRoster(instances))
		n.dispatcher = NewDispatcher(n.tables, n, "z", newThrottle())
		s.nodes = append(s.nodes, n)
	}
	go s.report(ctx)

	results := map[string]*shortageResult{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	capacity := site.capacity()
	for began := time.Now(); time.Since(began) < site.duration; {
		at := time.Since(began)
		time.Sleep(time.Duration(s.rng.ExpFloat64() / (capacity * site.load(at)) * float64(time.Second)))
		class := site.pick(s.rng.Float64())
		c := &shortageCall{site: s, class: class, engines: engines, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 1)), estimates: estimates,
			prompt: max(int(draw(s.rng, class.prompt, class.spread)), 1), events: max(int(draw(s.rng, class.events, class.spread)), 1)}
		large := float64(c.prompt+10*c.events*profile.StepsPerEvent) > class.largestTenth(profile.StepsPerEvent)
		counts := at >= site.from && at < site.to
		requests.Go(func() {
			r := c.play(ctx)
			if !counts {
				return
			}
			if large {
				r.largeAsked, r.largeServed = 1, r.onTime+r.late
			}
			mu.Lock()
			defer mu.Unlock()
			if results[class.name] == nil {
				results[class.name] = &shortageResult{}
			}
			results[class.name].add(r)
		})
	}
	requests.Wait()
	cancel()
	// The goroutines of the engines and of the reports end.
	time.Sleep(time.Second)
	return results
}

// largestTenth returns the size above which a request is among the largest tenth.
func (c *callerClass) largestTenth(steps int) float64 {
	rng := rand.New(rand.NewPCG(1, 1))
	above := make([]float64, 0, 1000)
	for range 1000 {
		above = append(above, draw(rng, c.prompt, c.spread)+10*draw(rng, c.events, c.spread)*float64(steps))
	}
	return quantileOf(above, 0.9)
}

func (s *shortageSite) pick(at float64) *callerClass {
	for i := range s.classes {
		if at -= s.classes[i].share; at < 0 {
			return &s.classes[i]
		}
	}
	return &s.classes[0]
}

// capacity returns the requests per second that the groups complete with all slots in use.
func (s *shortageSite) capacity() float64 {
	prompt, events := 0.0, 0.0
	for _, c := range s.classes {
		prompt += c.share * c.prompt
		events += c.share * c.events
	}
	return float64(s.groups) / s.profile.RequestTime(prompt, events*float64(s.profile.StepsPerEvent)).Seconds()
}

// shortageCall is one caller.
type shortageCall struct {
	site           *saturation
	class          *callerClass
	engines        map[string]*batchEngine
	rng            *rand.Rand
	prompt, events int
	estimates      bool
}

// shortagePatience is how long callers wait for the first event.
const shortagePatience = 2 * time.Second

// play asks until it is answered, and once more after a refusal, and returns the outcome.
func (c *shortageCall) play(ctx context.Context) (r shortageResult) {
	began := time.Now()
	r.asked = 1
	for range 2 {
		retryAfter, first, complete := c.attempt(ctx, began)
		if complete {
			if first.Sub(began) <= c.class.goal {
				r.onTime++
			} else {
				r.late++
			}
			return r
		}
		if retryAfter <= 0 {
			return r
		}
		time.Sleep(min(retryAfter, (6*time.Second-time.Since(began))/3))
	}
	r.refused++
	return r
}

// attempt sends one request to a node chosen at random.
func (c *shortageCall) attempt(ctx context.Context, began time.Time) (retryAfter time.Duration, first time.Time, complete bool) {
	n := c.site.nodes[c.rng.IntN(len(c.site.nodes))]
	now := time.Now()
	remaining := 6*time.Second - now.Sub(began)
	goalAt := now.Add(c.class.goal)
	if c.estimates {
		// The node finds from the remaining timeout when the caller first asked.
		goalAt = began.Add(c.class.goal)
	}
	slot, err := n.dispatcher.Acquire(ctx, SlotRequest{Pool: c.site.pool, Rank: c.class.rank, PromptTokens: c.prompt, Goal: c.class.goal, EventGap: c.class.eventGap,
		GoalAt: goalAt, Until: now.Add(min(firstEventTimeout, remaining))})
	if err != nil {
		return retryAfterOf(err, fullRetry), time.Time{}, false
	}
	var got atomic.Bool
	firstAt, done := make(chan time.Time, 1), make(chan struct{})
	r := &batchRequest{prompt: c.prompt, events: c.events, priority: slot.priority, wrote: func(events int) {
		if events == 1 {
			got.Store(true)
			firstAt <- time.Now()
		}
		if events == c.events {
			close(done)
		}
	}}
	time.Sleep(3 * time.Millisecond)
	defer slot.Release()
	c.engines[slot.Instance.ID].add(r)
	select {
	case first = <-firstAt:
		slot.RecordFirstEvent(first)
	case <-time.After(shortagePatience):
		c.engines[slot.Instance.ID].leave(r)
		return 0, time.Time{}, false
	}
	<-done
	slot.RecordEvents(c.events, time.Now())
	if c.estimates {
		n.dispatcher.RecordResponse(c.site.pool, c.events)
	}
	return 0, first, true
}

func sitesInShortage() []shortageSite {
	freight := []callerClass{
		{name: "reply draft", share: 0.046, goal: 500 * time.Millisecond, eventGap: 300 * time.Millisecond, rank: 10, prompt: 1460, spread: 0.8, events: 28},
		{name: "rate", share: 0.913, goal: 250 * time.Millisecond, eventGap: 200 * time.Millisecond, prompt: 714, spread: 0.7, events: 28},
		{name: "digest", share: 0.041, goal: time.Second, eventGap: 300 * time.Millisecond, rank: 20, prompt: 2000, spread: 0.8, events: 4},
	}
	invitation := []callerClass{
		{name: "draft", share: 0.13, goal: 500 * time.Millisecond, eventGap: 300 * time.Millisecond, prompt: 1460, spread: 0.8, events: 23},
		{name: "card", share: 0.79, goal: 300 * time.Millisecond, eventGap: 200 * time.Millisecond, rank: 10, prompt: 714, spread: 0.7, events: 23},
		{name: "summary", share: 0.08, goal: 500 * time.Millisecond, eventGap: 300 * time.Millisecond, rank: 10, prompt: 2000, spread: 0.8, events: 5},
	}
	burst := func(at time.Duration) float64 {
		if at < 6*time.Second || at > 12*time.Second {
			return 0.85
		}
		return 1.7
	}
	wave := func(at time.Duration) float64 {
		return 1.05 * (1 + 0.55*math.Sin(2*math.Pi*(at-4*time.Second).Seconds()/17))
	}
	millis := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	return []shortageSite{
		{name: "burst", overloaded: true, nodes: 63, groups: 17, classes: freight, load: burst, duration: 14 * time.Second, from: 6 * time.Second, to: 12 * time.Second,
			profile: catalog.EngineProfile{Slots: 20, StepTime: millis(7.8), StepTimePerRequest: millis(0.0947), StepTimePerContext: millis(0.0096),
				PrefillRate: 45_900, PrefillTimePerPairs: millis(0.433), PrefillChunk: 2048, StepsPerEvent: 6}},
		{name: "wave", overloaded: true, nodes: 31, groups: 12, classes: invitation, load: wave, duration: 18 * time.Second, from: 4 * time.Second, to: 13 * time.Second,
			profile: catalog.EngineProfile{Slots: 34, StepTime: millis(6.07), StepTimePerRequest: millis(0.0947), StepTimePerContext: millis(0.0096),
				PrefillRate: 46_000, PrefillTimePerPairs: millis(0.433), PrefillChunk: 2048, StepsPerEvent: 5}},
		{name: "nearly full", nodes: 63, groups: 17, classes: freight, load: func(time.Duration) float64 { return 0.9 }, duration: 14 * time.Second, from: 6 * time.Second, to: 12 * time.Second,
			profile: catalog.EngineProfile{Slots: 20, StepTime: millis(7.8), StepTimePerRequest: millis(0.0947), StepTimePerContext: millis(0.0096),
				PrefillRate: 45_900, PrefillTimePerPairs: millis(0.433), PrefillChunk: 2048, StepsPerEvent: 6}},
	}
}

// Guards against answers that are late under shortage: engines that are sent more requests than
// they have slots answer most of them late. More than half of what they complete has to be on time,
// and neither a class nor the largest requests may be left out.
func TestShortage(t *testing.T) {
	for _, site := range sitesInShortage() {
		t.Run(site.name, func(t *testing.T) {
			g := NewWithT(t)
			var bySlots, byEstimates shortageResult
			synctest.Test(t, func(*testing.T) {
				for _, r := range playShortage(site, false) {
					bySlots.add(*r)
				}
			})
			var classes map[string]*shortageResult
			synctest.Test(t, func(*testing.T) { classes = playShortage(site, true) })
			for name, r := range classes {
				t.Logf("%s: %v", name, r)
				byEstimates.add(*r)
			}
			t.Logf("by slots: %v", &bySlots)
			t.Logf("by estimates: %v", &byEstimates)
			g.Expect(byEstimates.onTime).To(BeNumerically(">", byEstimates.late))
			served := byEstimates.servedFraction()
			for name, r := range classes {
				g.Expect(r.servedFraction()).To(BeNumerically(">", served/4), name)
			}
			g.Expect(float64(byEstimates.largeServed) / float64(byEstimates.largeAsked)).To(BeNumerically(">", served/2))
			if site.overloaded {
				g.Expect(byEstimates.onTime).To(BeNumerically(">", bySlots.onTime))
			} else {
				g.Expect(served).To(BeNumerically(">", 0.95))
			}
		})
	}
}
