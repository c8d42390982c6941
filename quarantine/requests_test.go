package quarantine

import (
	"fmt"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

// guardBench is a guard with a clock and a counter that makes engines distinct.
type guardBench struct {
	*Guard
	*clock
	engines int
}

func newGuardBench() *guardBench {
	c := &clock{time: time.Unix(1e9, 0)}
	return &guardBench{clock: c, Guard: newGuard(c)}
}

func newGuard(c *clock) *Guard {
	return NewGuard(Config{Now: func() time.Time { return c.time }}, log.NewNopLogger(), metrics.NewRegistry())
}

// request returns a request with a prompt.
func request(id string, prompt ...string) Request { return Request{ID: id, Prompt: prompt} }

// crash makes a new engine crash under requests and lets half a second pass.
func (b *guardBench) crash(requests ...Request) {
	b.engines++
	for _, r := range requests {
		b.Crashed(fmt.Sprint("engine-", b.engines), 1, r, false, b.time)
	}
	b.advance(700 * time.Millisecond)
	b.Report()
}

func (b *guardBench) refuses(r Request) bool { return b.Match(r) != nil }

var _ = Describe("Guard", func() {
	var b *guardBench
	deadly := request("deadly", "shared", "session")
	BeforeEach(func() { b = newGuardBench() })

	It("refuses a request after three crashes under it, and no other with its parts", func() {
		// Guards against a request that crashes one engine after the other when it is repeated.
		for range 3 {
			Expect(b.refuses(deadly)).To(BeFalse())
			b.crash(deadly)
		}
		Expect(b.refuses(deadly)).To(BeTrue())
		Expect(b.refuses(request("other", "shared", "session"))).To(BeFalse())
		Expect(b.refuses(request("", "shared", "session"))).To(BeFalse())
	})

	It("refuses a request without a prompt, and one that crashes engines after its response began", func() {
		// Guards against plain requests and streams that crash engines in the middle.
		for range 3 {
			b.crash(request("plain"))
			b.Crashed(fmt.Sprint("begun-", b.engines), 1, request("begun", "shared", "x"), true, b.time)
		}
		Expect(b.refuses(request("plain"))).To(BeTrue())
		Expect(b.refuses(request("begun", "shared", "x"))).To(BeTrue())
	})

	It("blames no request whose response was sound after the crashes", func() {
		// Guards against refusing a sound request that is repeated by nature.
		for range 4 {
			b.crash(request("poll"))
			b.crash(request("poll"))
			b.Answered(request("poll"))
			b.advance(time.Second)
		}
		Expect(b.refuses(request("poll"))).To(BeFalse())
	})

	It("blames no request for engines that crash at once", func() {
		// Guards against refusing a repeated request because all servers lost power.
		for i := range 5 {
			b.Crashed(fmt.Sprint("engine-", i), 1, request("poll"), false, b.time.Add(time.Duration(i)*10*time.Millisecond))
		}
		b.advance(time.Second)
		b.Report()
		Expect(b.refuses(request("poll"))).To(BeFalse())
	})

	It("refuses a request that is sent rarely", func() {
		// Guards against a request that crashes an engine each minute for good.
		for range 3 {
			Expect(b.refuses(request("rare"))).To(BeFalse())
			b.crash(request("rare"))
			b.advance(time.Minute)
			b.Report()
		}
		b.crash(request("rare"))
		Expect(b.refuses(request("rare"))).To(BeTrue())
	})

	It("ends a quarantine by an answer just after another one", func() {
		// Guards against refusing a sound request because one answer came before the last
		// crash was known, and the next one soon after it.
		b.crash(request("sound"))
		b.Answered(request("sound"))
		for i := range minRequestEnginesOnceSound {
			b.advance(50 * time.Millisecond)
			r := request("sound")
			r.EarlierAttempts = i
			b.Crashed(fmt.Sprint("x-", i), 1, r, false, b.time)
		}
		Expect(b.refuses(request("sound"))).To(BeTrue())
		b.advance(10 * time.Millisecond)
		b.Answered(request("sound"))
		Expect(b.refuses(request("sound"))).To(BeFalse())
	})

	It("needs more crashes if another node has received an answer before them", func() {
		// Guards against refusing a sound request because the node that saw three crashes didn't
		// know yet what another one had received.
		other := newGuard(b.clock)
		other.Answered(request("sound"))
		crash := func(i int) {
			b.advance(20 * time.Millisecond)
			r := request("sound")
			r.EarlierAttempts = i
			b.Crashed(fmt.Sprint("engine-", i), 1, r, false, b.time)
		}
		for i := range minRequestEngines {
			crash(i)
		}
		Expect(b.refuses(request("sound"))).To(BeTrue())
		for range 2 {
			other.Absorb(b.Report())
			Expect(other.Match(request("sound"))).To(BeNil())
			b.Absorb(other.Report())
			Expect(b.refuses(request("sound"))).To(BeFalse())
		}
		crash(3)
		Expect(b.refuses(request("sound"))).To(BeFalse())
		crash(4)
		Expect(b.refuses(request("sound"))).To(BeTrue())
	})

	It("tries a request in quarantine at one node, and ends the quarantine if it is sound", func() {
		// Guards against refusing a sound request for a minute because nobody sends it.
		nodes := []*Guard{b.Guard, newGuard(b.clock), newGuard(b.clock)}
		exchange := func() {
			for _, from := range nodes {
				report := from.Report()
				for _, to := range nodes {
					to.Absorb(report)
				}
			}
		}
		nodes[1].Answered(request("poll"))
		for i := range minRequestEnginesOnceSound {
			n := nodes[i%len(nodes)]
			b.advance(incidentTime + time.Millisecond)
			n.Crashed(fmt.Sprint("engine-", i), 1, request("poll"), false, b.time)
			exchange()
		}
		tries := func() (list []int) {
			for i, n := range nodes {
				Expect(n.Match(request("poll"))).NotTo(BeNil())
				if n.TakeTrial(request("poll")) {
					list = append(list, i)
				}
			}
			return list
		}
		Expect(tries()).To(BeEmpty())
		b.advance(trialDelay)
		Expect(tries()).To(Equal([]int{1}))
		Expect(tries()).To(BeEmpty())
		trial := request("poll")
		trial.Trial = true
		Expect(nodes[1].Match(trial)).To(BeNil())
		nodes[1].Answered(trial)
		exchange()
		for _, n := range nodes {
			Expect(n.Match(request("poll"))).To(BeNil())
		}
	})

	It("doesn't try a request that no server has answered", func() {
		// Guards against a trial that ends the other requests at an engine without need.
		for range 3 {
			b.crash(deadly)
		}
		b.advance(10 * time.Second)
		Expect(b.refuses(deadly)).To(BeTrue())
		Expect(b.TakeTrial(deadly)).To(BeFalse())
	})

	It("tries a request that crashes engines once in a quarantine", func() {
		// Guards against trials that crash one engine after the other (BUDGET).
		b.Answered(deadly)
		for range minRequestEnginesOnceSound {
			b.advance(time.Millisecond)
			b.crash(deadly)
		}
		b.advance(trialDelay)
		Expect(b.TakeTrial(deadly)).To(BeTrue())
		b.crash(deadly)
		for range 40 {
			b.advance(time.Second)
			Expect(b.refuses(deadly)).To(BeTrue())
			Expect(b.TakeTrial(deadly)).To(BeFalse())
		}
		b.advance(firstRequestDuration)
		b.Report()
		b.crash(deadly)
		Expect(b.refuses(deadly)).To(BeTrue())
		b.advance(time.Minute)
		Expect(b.TakeTrial(deadly)).To(BeFalse(), "after a renewal")
	})

	It("counts an engine that was sent the request after another had failed by itself", func() {
		// Guards against a request that is repeated at once, and crashes more engines before
		// its crashes count as several incidents.
		again := deadly
		again.EarlierAttempts = 1
		for i, r := range []Request{deadly, again, deadly} {
			b.Crashed(fmt.Sprint("engine-", i), 1, r, false, b.time)
			b.advance(5 * time.Millisecond)
		}
		Expect(b.refuses(deadly)).To(BeTrue())
	})

	It("doesn't count crashes under a request in quarantine against others at the engines", func() {
		// Guards against blaming requests that were beside a deadly one.
		for range 3 {
			b.crash(deadly)
		}
		for range 3 {
			b.crash(deadly, request("beside", "shared", "x"))
		}
		Expect(b.refuses(deadly)).To(BeTrue())
		Expect(b.refuses(request("beside", "shared", "x"))).To(BeFalse())
	})

	It("refuses a request by chance for a minute, and one that crashes a further engine for longer", func() {
		// Guards against refusing an unlucky request for long, and against three further
		// crashes after each quarantine.
		for range 3 {
			b.crash(deadly)
		}
		Expect(b.refuses(deadly)).To(BeTrue())
		b.advance(firstRequestDuration)
		b.Report()
		Expect(b.refuses(deadly)).To(BeFalse())
		b.crash(deadly)
		Expect(b.refuses(deadly)).To(BeTrue())
		b.advance(DefaultDuration*3/4 - 2*time.Second)
		Expect(b.refuses(deadly)).To(BeTrue())
	})

	It("ends at the nodes one after the other, and is renewed at all of them", func() {
		// Guards against copies that reach engines through all nodes at once when a
		// quarantine ends.
		nodes := []*Guard{b.Guard}
		for range 40 {
			nodes = append(nodes, newGuard(b.clock))
		}
		for range 3 {
			b.crash(deadly)
		}
		tell := func(report Reports) {
			for _, node := range nodes {
				node.Absorb(report)
			}
		}
		refusing := func() (n int, ended *Guard) {
			for _, node := range nodes {
				if node.Match(deadly) != nil {
					n++
				} else {
					ended = node
				}
			}
			return n, ended
		}
		tell(b.Report())
		b.advance(firstRequestDuration / 2)
		n, ended := refusing()
		Expect(n).To(Equal(len(nodes)))
		for ended == nil {
			b.advance(100 * time.Millisecond)
			n, ended = refusing()
		}
		Expect(n).To(BeNumerically(">", len(nodes)/2), "nodes that refuse when the first one doesn't")
		ended.Crashed("later", 1, deadly, false, b.time)
		tell(ended.Report())
		b.advance(firstRequestDuration)
		n, _ = refusing()
		Expect(n).To(Equal(len(nodes)), "nodes that refuse after the renewal")
	})

	It("refuses what other nodes observed, and keeps it in the store", func() {
		// Guards against a request that crashes the engines of each node in turn.
		nodes := []*Guard{b.Guard, newGuard(b.clock), newGuard(b.clock)}
		for i, n := range nodes {
			n.Crashed(fmt.Sprint("engine-", i), 1, deadly, false, b.time)
			b.advance(700 * time.Millisecond)
			for _, to := range nodes {
				to.Absorb(n.Report())
			}
		}
		for _, n := range nodes {
			Expect(n.Match(deadly)).NotTo(BeNil())
		}
		data, err := Encode(b.Ledger(Requests).Current())
		Expect(err).NotTo(HaveOccurred())
		stored, err := Decode(data, b.time)
		Expect(err).NotTo(HaveOccurred())
		Expect(SameParts(b.Ledger(Requests).Current(), stored)).To(BeTrue())
		stored.Notices[0].Since--
		Expect(SameParts(b.Ledger(Requests).Current(), stored)).To(BeFalse(), "a renewal is stored again")
		restarted := newGuard(b.clock)
		restarted.Absorb(Reports{Requests: stored})
		Expect(restarted.Match(deadly)).NotTo(BeNil())
	})

	It("keeps an absurd age of another node from looking new", func() {
		// Guards against a clearance that lifts quarantines because its age wrapped around.
		old := &Observations{Clearances: []Clearance{{Part: 1, AgeMs: 1<<32 - 1}}, Notices: []Notice{{Parts: []Part{1}, AgeMs: 1<<32 - 1}}}
		merged := Merge(Requests, nil, old, time.Minute)
		Expect(merged.Clearances[0].AgeMs).To(BeEquivalentTo(1<<32 - 1))
		Expect(merged.Notices[0].AgeMs).To(BeEquivalentTo(1<<32 - 1))
	})

	It("keeps the strikes of the request that has most of them in a short report", func() {
		// Guards against a deadly request whose crashes don't fit into a message beside those
		// of the other requests at the engines.
		for engine := range 3 {
			for i := range 6 {
				b.Crashed(fmt.Sprint("engine-", engine), 1, request(fmt.Sprint("beside-", engine, "-", i)), true, b.time)
			}
			b.Crashed(fmt.Sprint("engine-", engine), 1, deadly, false, b.time)
		}
		short := b.Report()[Requests].Shorten().Shorten().Shorten()
		Expect(short.Strikes).To(HaveLen(2))
		for _, s := range short.Strikes {
			Expect(s.Part).To(Equal(PartOf("deadly")))
		}
	})

	It("keeps its size and that of its reports bounded", func() {
		// Guards against memory and messages that grow with the number of requests at crashed
		// engines.
		for i := range 3000 {
			b.Crashed(fmt.Sprint("engine-", i/17), 1, request(fmt.Sprint(i), "shared", "x"), true, b.time)
			b.advance(time.Millisecond)
			if i%100 == 0 {
				Expect(b.Report()[Requests].Validate()).To(Succeed())
			}
		}
		for i := range 40 {
			for n := range 3 {
				r := request(fmt.Sprint("deadly-", i))
				r.EarlierAttempts = n
				b.Crashed(fmt.Sprint("engine-", i, "-", n), 2, r, false, b.time)
				b.advance(10 * time.Millisecond)
			}
		}
		Expect(b.Report()[Requests].Validate()).To(Succeed())
		Expect(len(b.Ledger(Requests).records)).To(BeNumerically("<=", maxRequestRecords))
		for i := range 40 {
			Expect(b.refuses(request(fmt.Sprint("deadly-", i)))).To(BeTrue(), "request %d", i)
		}
		for i := range maxRequestsInEffect {
			notice := Notice{Parts: []Part{Part(i + 1)}, Since: b.time.UnixMilli() + int64(i), RemainingMs: 60_000}
			b.Absorb(Reports{Requests: &Observations{Notices: []Notice{notice}}})
		}
		b.Report()
		Expect(len(b.Current())).To(BeNumerically("<=", maxRequestsInEffect))
	})
})
