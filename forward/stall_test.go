package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/suspicion"
)

// listenPausing starts a server that writes the parts of its response to one request with a
// pause between two of them, and closes the connection.
func listenPausing(pause time.Duration, parts ...string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for i, part := range parts {
			if i > 0 {
				time.Sleep(pause)
			}
			_, _ = io.WriteString(conn, part)
		}
	}()
	return listener.Addr().String()
}

// listenServing starts a server that calls serve for each connection.
func listenServing(serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("Handler with an engine that falls silent in the middle of a stream", func() {
	DescribeTable("delivers the stream whole if no other engine can go on with it", func(parts ...string) {
		// Guards against answers that are cut because their engine was silent for a while.
		const pause = 1200 * time.Millisecond
		length := -len(okHead)
		for _, part := range parts {
			length += len(part)
		}
		status, received := get(newTestNode(listenPausing(pause, parts...)), "/stream/")
		Expect(status).To(Equal(http.StatusOK))
		Expect(received).To(Equal(length))
	},
		Entry("between two events", okHead+"id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", "id: 3\ndata: x\n\n"),
		Entry("within an event", okHead+"id: 1\ndata: x\n\nid: 2\nda", "ta: x\n\n"),
	)
})

var _ = Describe("Handler with an engine that falls silent while another one has free slots", func() {
	DescribeTable("delivers the stream whole if the other one doesn't go on with it", func(script string) {
		// Guards against answers that are cut because their silent engine was given up before
		// another one had taken the request. The two are chosen at random.
		const first, rest = "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n"
		var all sync.WaitGroup
		for range 6 {
			other := &scriptedServer{scripts: []string{script, script}}
			node := newScriptedNode(listenPausing(time.Second, okHead+first, rest), other.listen())
			all.Go(func() {
				defer GinkgoRecover()
				status, body, complete := sendScripted(node, "/stream/x", "r")
				Expect(status).To(Equal(http.StatusOK))
				Expect(complete).To(BeTrue())
				Expect(body).To(Equal(first + rest))
			})
		}
		all.Wait()
	},
		Entry("but refuses", refusal),
		Entry("but breaks off", "CLOSE"),
		Entry("but fails", "HTTP/1.1 500 x\r\nId: ID\r\nContent-Length: 0\r\n\r\n"),
		Entry("but is silent, too", ""),
	)
})

var _ = Describe("Handler with a silent engine that resets its stream while another one is asked", func() {
	It("doesn't deliver the part of the stream as whole", func() {
		// Guards against a stream without a length that looks complete after its connection
		// was reset, as the check whether the silent engine went on consumed the error.
		asked, reset := make(chan struct{}), make(chan struct{})
		first := func(conn net.Conn) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(unframedHead, "ID", "r")+"id: 1\ndata: x\n\n")
			<-asked
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			close(reset)
		}
		second := func(net.Conn) {
			close(asked)
			<-reset
			time.Sleep(time.Second)
		}
		var requests atomic.Int32
		serve := func(conn net.Conn) {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			switch requests.Add(1) {
			case 1:
				first(conn)
			case 2:
				second(conn)
			}
		}
		status, body, complete := sendScripted(newScriptedNode(listenServing(serve), listenServing(serve)), "/stream/x", "r")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("id: 1\ndata: x\n\n"))
		Expect(complete).To(BeFalse())
		Expect(reset).To(BeClosed())
	})
})

var _ = Describe("Dispatcher with a stream that its caller has a part of", func() {
	It("waits for a target", func() {
		// Guards against streams that are cut because their engine failed while no other one
		// was in the instance list for a moment.
		tables, pool := newTables(0, 1)
		d := NewDispatcher(tables, &fakePeers{}, "", newThrottle())
		later, _ := newTables(1, 1)
		time.AfterFunc(100*time.Millisecond, func() { tables.current.Store(later.Load()) })
		slot, err := d.Acquire(context.Background(), SlotRequest{Pool: pool, Begun: true, GoalAt: time.Now(), Until: time.Now().Add(2 * time.Second)})
		Expect(err).NotTo(HaveOccurred())
		slot.Release()
	})
})

var _ = Describe("Handler with a silent engine and no free slot", func() {
	It("gets the next slot for the stream, and returns it if the engine goes on", func() {
		// Guards against streams that never move because each slot goes to a request in the
		// queue, and against a slot that leaks.
		tables, pool := newTables(1, 1)
		h := NewHandler(Config{}, Dependencies{Dispatcher: NewDispatcher(tables, &fakePeers{}, "", newThrottle()), Logger: log.NewNopLogger(), Registry: metrics.NewRegistry()})
		until := time.Now().Add(5 * time.Second)
		request := SlotRequest{Pool: pool, GoalAt: until, Until: until}
		held, err := h.Dispatcher.Acquire(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		served := make(chan *Slot, 1)
		go func() {
			slot, _ := h.Dispatcher.Acquire(context.Background(), request)
			served <- slot
		}()
		waiting := func() int { return h.Dispatcher.Waiting()[pool] }
		Eventually(waiting).Should(Equal(1))
		s := &stream{call: &call{route: &catalog.Route{}, service: &catalog.Service{Name: pool.Service}, deadline: until}}
		Expect(h.slotForNext(context.Background(), s)).To(BeNil())
		Eventually(waiting).Should(Equal(2))
		held.Release()
		Eventually(func() int { return len(s.slotWait.result) }).Should(Equal(1))
		Consistently(served, 100*time.Millisecond).ShouldNot(Receive())
		s.dropNext()
		Eventually(served).Should(Receive(Not(BeNil())))
	})
})

var _ = Describe("The silence of an attempt", func() {
	It("doesn't hold an engine that has sent events of later attempts", func() {
		// Guards against a connection from before a cut that takes its engine out of service again
		// and again after it (RECOVER).
		load := &Load{}
		m := &stallMonitor{load: load, nextTimeout: time.Second, begun: true,
			peerProgress: func() bool { return false }, mustFinish: func() bool { return true }, takeOver: func() bool { return false },
			silenceKind: func() suspicion.Kind { return silenceKind(&Slot{Target: &Target{Load: load}}) },
			failed:      func(k suspicion.Kind) { load.record.Failed(k, time.Now()) }}
		silentFor := func(d time.Duration) {
			GinkgoHelper()
			_, err := m.watch(d)
			Expect(err).NotTo(HaveOccurred())
		}
		silentFor(2 * time.Second)
		Expect(load.Suspected(time.Now())).To(BeTrue())
		load.recordProgress(time.Now())
		Expect(load.Suspected(time.Now())).To(BeFalse())
		load.progressAt.Store(time.Now().Add(-2 * progressWindow).UnixNano())
		silentFor(3 * time.Second)
		Expect(load.Suspected(time.Now())).To(BeFalse())
		Expect(load.Evidence(time.Now()).Cause).To(Equal(suspicion.None))
	})
})
