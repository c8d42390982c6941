package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/suspicion"
)

const (
	soundStream = streamHead + twoEvents + "0\r\n\r\n"
	serverError = "HTTP/1.1 500 x\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	wrongTarget = "HTTP/1.1 421 x\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// refuseAll returns an address at which connections are refused.
func refuseAll() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

var _ = Describe("Handler with a backend server that fails a request", func() {
	// loadOf returns the load of an instance at a node.
	loadOf := func(handler *Handler, instance string) *Load {
		return handler.Dispatcher.tables.Load().Target(instance).Load
	}
	failuresOf := func(handler *Handler, k suspicion.Kind) int64 {
		return metrics.GetOrRegisterCounter("suspicion.failures."+k.String(), handler.metrics.registry).Count()
	}

	DescribeTable("records what it shows, and holds only one that is gone",
		func(path, instance, script string, kind suspicion.Kind, held bool) {
			// Guards against a server that gets no requests for seconds because it failed one, and
			// against requests to one that has crashed.
			address := refuseAll()
			if script != "" {
				address = (&scriptedServer{scripts: []string{script}}).listen()
			}
			node := newScriptedNode(address)
			handler := node.Config.Handler.(*Handler)
			sendScripted(node, path, "r")
			Eventually(func() int64 { return failuresOf(handler, kind) }).Should(BeNumerically(">=", 1))
			load := loadOf(handler, instance)
			Expect(load.Suspected(time.Now())).To(Equal(held))
			if !held {
				Expect(failuresOf(handler, kind)).To(BeEquivalentTo(1))
				Expect(load.Evidence(time.Now()).Failed).To(And(BeNumerically(">", 0.3), BeNumerically("<=", 1)))
				Expect(handler.Dispatcher.Assess(handler.Dispatcher.tables.Load().Target(instance)).Trust).To(BeNumerically(">", 0.7))
			}
		},
		Entry("a stream that is reset", "/stream/x", "e0", streamHead+twoEvents+"RESET", suspicion.Lost, false),
		Entry("a stream that is reset before an event", "/stream/x", "e0", "RESET", suspicion.Lost, false),
		Entry("a response that is reset", "/unsafe/x", "d0", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nokRESET", suspicion.Lost, false),
		Entry("a response that never comes", "/safe/x", "d0", "CLOSE", suspicion.Lost, false),
		Entry("a response to another request", "/unsafe/x", "d0", strings.Repeat(oldRefusal, 3)+"CLOSE", suspicion.Spoiled, false),
		Entry("an error", "/unsafe/x", "d0", serverError, suspicion.Errored, false),
		Entry("an error of a stream", "/stream/x", "e0", serverError, suspicion.Errored, false),
		Entry("a refusal", "/stream/x", "e0", refusal, suspicion.Refused, false),
		Entry("a crash in the middle of a stream", "/stream/x", "e0", streamHead+twoEvents+"CRASH", suspicion.Gone, true),
		Entry("a crash of a plain server", "/unsafe/x", "d0", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nokCRASH", suspicion.Gone, true),
		Entry("another instance at the address", "/stream/x", "e0", wrongTarget, suspicion.Gone, true),
		Entry("no process at the address", "/stream/x", "e0", "", suspicion.Gone, true),
	)

	It("sends the next stream to an engine that reset one, and counts its answers", func() {
		// Guards against a refusal while the only engine would answer.
		s := &scriptedServer{scripts: []string{soundStream, streamHead + twoEvents + "RESET", soundStream}}
		node := newScriptedNode(s.listen())
		handler := node.Config.Handler.(*Handler)
		for i, want := range []bool{true, false, true} {
			status, _, complete := sendScripted(node, "/stream/x", strings.Repeat("r", i+1))
			Expect(status).To(Equal(http.StatusOK))
			Expect(complete).To(Equal(want))
		}
		e := loadOf(handler, "e0").Evidence(time.Now())
		Expect(e.Failed).To(And(BeNumerically(">", 0.3), BeNumerically("<=", 1)))
		Expect(e.Answered).To(And(BeNumerically(">", 1.3), BeNumerically("<=", 2)))
		Expect(e.Streak).To(BeZero())
	})

	It("holds a silent engine until it sends an event, and tries it with one request at a time", func() {
		// Guards against requests to a mute engine, and against one that stays out after it is back.
		var handler *Handler
		for attempt, silent := 0, false; !silent; attempt++ {
			Expect(attempt).To(BeNumerically("<", 20), "the silent engine was never chosen")
			handler, silent = sendToSilent(listenSilent(okHead+"id: 1\ndata: x\n\n"), "r", unframedHead+"id: 2\ndata: x\n\n"+"CLOSE")
		}
		Expect(failuresOf(handler, suspicion.Silent)).To(BeNumerically(">=", 1))
		load := loadOf(handler, "e0")
		Expect(load.Suspected(time.Now())).To(BeTrue())
		pool := Pool{"llm", "m"}
		candidate := func() *Candidate {
			handler.Dispatcher.mu.Lock()
			defer handler.Dispatcher.mu.Unlock()
			return &handler.Dispatcher.candidates(pool).candidates[0]
		}
		Expect(candidate().Excluded).To(BeTrue())
		Eventually(func() bool { return load.Suspected(time.Now()) }, 5*time.Second).Should(BeFalse())
		c := candidate()
		Expect(c.Excluded).To(BeFalse())
		Expect(c.limit()).To(BeEquivalentTo(1))
		load.recordProgress(time.Now())
		Expect(candidate().limit()).To(BeNumerically(">=", 40))
	})

	It("isn't blamed for a limit of connections of this node", func() {
		// Guards against a sound server in doubt because this node has used up its connections.
		slow := listenPausing(time.Second, "", strings.ReplaceAll(sound, "ID", "first"))
		node := newScriptedNode(slow)
		handler := node.Config.Handler.(*Handler)
		handler.Configuration.Load().Services[0].MaxConnections = 1
		done := make(chan struct{})
		go func() { defer close(done); sendScripted(node, "/unsafe/x", "first") }()
		Eventually(func() int { return loadOf(handler, "d0").Running() }).Should(Equal(1))
		status, _, _ := sendScripted(node, "/unsafe/x", "second")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		e := loadOf(handler, "d0").Evidence(time.Now())
		Expect(e.Failed).To(BeZero())
		Expect(e.Cause).To(Equal(suspicion.None))
		<-done
	})
})

var _ = Describe("Requests that must not be sent twice", func() {
	It("go to sound servers while one of them has a free slot", func() {
		// Guards against a response lost for good at a server that is known to lose some.
		tables, pool := newTables(2, 4)
		d := NewDispatcher(tables, &fakePeers{}, "", newThrottle())
		now := time.Now()
		for range 3 {
			tables.Load().Target("a").Load.record.Failed(suspicion.Lost, now)
		}
		pick := func(once bool) *Target {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.candidates(pool).pick(&waiter{once: once})
		}
		for range 4 {
			Expect(pick(true).Instance.ID).To(Equal("b"))
		}
		Expect(pick(true).Instance.ID).To(Equal("a"))
	})
})

var _ = Describe("The slots of a pool", func() {
	It("count a target by what it is expected to answer", func() {
		// Guards against refusals because a target in doubt counts as none, and against late
		// answers because one that is gone counts as whole.
		tables, pool := newTables(3, 20)
		d := NewDispatcher(tables, &fakePeers{}, "", newThrottle())
		now := time.Now()
		slots := func(at time.Time) int {
			d.mu.Lock()
			defer d.mu.Unlock()
			n, _ := d.slotsAndDemand(pool, at)
			return n
		}
		Expect(slots(now)).To(Equal(60))
		lossy := &tables.Load().Target("a").Load.record
		for range 9 {
			lossy.Answered(now)
		}
		lossy.Failed(suspicion.Lost, now)
		Expect(slots(now)).To(And(BeNumerically("<", 60), BeNumerically(">=", 57)))
		tables.Load().Target("b").Load.record.Failed(suspicion.Gone, now)
		Expect(slots(now)).To(And(BeNumerically("<", 40), BeNumerically(">=", 37)))
		// The target is on trial once the hold has expired.
		Expect(slots(now.Add(4 * time.Second))).To(BeElementOf(40, 41))
	})
})

var _ = Describe("A target on trial", func() {
	It("gets one request of this node at a time, however many other nodes have there", func() {
		// Guards against refusals for as long as other nodes use a server that this node lost
		// (RECOVER).
		tables, pool := newTables(1, 6)
		d := NewDispatcher(tables, &fakePeers{nodes: 3, running: map[string]int{"a": 4}}, "", newThrottle())
		load := tables.Load().Target("a").Load
		load.record.Failed(suspicion.Silent, time.Now().Add(-time.Hour))
		acquire := func() (*Slot, error) {
			return d.Acquire(context.Background(), SlotRequest{Pool: pool, Until: time.Now().Add(50 * time.Millisecond)})
		}
		for range 2 {
			slot, err := acquire()
			Expect(err).NotTo(HaveOccurred())
			_, err = acquire()
			Expect(err).To(MatchError(ErrFull))
			slot.Release()
		}
		slot, err := acquire()
		Expect(err).NotTo(HaveOccurred())
		load.record.Began(time.Now())
		second, err := acquire()
		Expect(err).NotTo(HaveOccurred())
		second.Release()
		slot.Release()
		Expect(load.trials.Load()).To(BeZero())
	})
})
