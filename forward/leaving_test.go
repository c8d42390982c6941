package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/drain"
	"github.com/rattanlanding/rattanlanding/suspicion"
)

var _ = Describe("Handler of a node that stops", func() {
	const answers = 600 * time.Millisecond
	grace := drain.Grace{Total: 3 * answers, Answers: answers}

	DescribeTable("refuses a request whose body doesn't arrive in time",
		// Guards against a connection that is closed, or a status after which the caller doesn't
		// try another node, although the request has not run.
		func(leaveFirst bool, wait time.Duration) {
			server := &scriptedServer{}
			node := newScriptedNode(server.listen())
			handler, ok := node.Config.Handler.(*Handler)
			Expect(ok).To(BeTrue())
			began := time.Now()
			if leaveFirst {
				handler.SetLeaving(grace)
				time.Sleep(wait)
			}
			caller, err := net.Dial("tcp", node.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(caller.Close)
			Expect(caller.SetReadDeadline(time.Now().Add(3 * answers))).To(Succeed())
			_, err = fmt.Fprint(caller, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 9\r\n\r\npart")
			Expect(err).NotTo(HaveOccurred())
			if !leaveFirst {
				Eventually(handler.InFlight).Should(Equal(1))
				handler.SetLeaving(grace)
			}
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(response.Close).To(BeTrue())
			Expect(time.Since(began)).To(BeNumerically("<", 3*answers))
			Expect(server.ran("r")).To(BeZero())
		},
		Entry("that came before the stop", false, time.Duration(0)),
		Entry("that came during the stop", true, time.Duration(0)),
		Entry("that came too late in the stop", true, answers*3/4),
	)

	DescribeTable("suspects no backend server because of its own end",
		// Guards against other nodes that avoid a sound server, or a group that is given up,
		// because a node has stopped.
		func(path, instance string) {
			release := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
			DeferCleanup(server.Close)
			DeferCleanup(func() { close(release) })
			node := newScriptedNode(server.Listener.Addr().String())
			handler, ok := node.Config.Handler.(*Handler)
			Expect(ok).To(BeTrue())
			time.AfterFunc(100*time.Millisecond, func() { handler.SetLeaving(grace) })
			status, _ := get(node, path)
			Expect(status).To(Equal(http.StatusBadGateway))
			Expect(handler.Dispatcher.tables.Load().Target(instance).Load.Evidence(time.Now())).To(Equal(suspicion.Evidence{}))
		},
		Entry("plain", "/safe/", "d0"),
		Entry("engine", "/stream/", "e0"),
	)

	DescribeTable("goes on with a stream at another engine, with no more time than is left of the stop",
		// Guards against a stream that ends because it fails late in the stop, and against an
		// engine that works on it after the node has ended.
		func(events int) {
			begun, leave := make(chan struct{}), make(chan struct{})
			remaining := make(chan time.Duration, 2)
			runs := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				if runs++; runs > 1 {
					_, _ = fmt.Fprint(w, "id: 2\ndata: x\n\n")
					return
				}
				for range events {
					_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\n")
				}
				_ = http.NewResponseController(w).Flush()
				close(begun)
				<-leave
				panic(http.ErrAbortHandler)
			}))
			DeferCleanup(server.Close)
			address := server.Listener.Addr().String()
			node := newScriptedNode(address, address)
			handler, ok := node.Config.Handler.(*Handler)
			Expect(ok).To(BeTrue())
			handler.Codec = remainingCodec{remaining: remaining}
			go func() {
				<-begun
				handler.SetLeaving(drain.Grace{Total: answers, Answers: answers})
				time.Sleep(answers / 2)
				close(leave)
			}()
			status, length := get(node, "/stream/")
			Expect(status).To(Equal(http.StatusOK))
			Expect(length).To(Equal((events + 1) * len("id: 1\ndata: x\n\n")))
			Expect(<-remaining).To(BeNumerically(">", answers))
			Expect(<-remaining).To(BeNumerically("<=", answers/2))
		},
		Entry("that has begun", 1),
		Entry("whose first engine failed before an event", 0),
	)
})

// remainingCodec is a headerCodec that reports the time that each attempt is given.
type remainingCodec struct {
	headerCodec
	remaining chan time.Duration
}

func (c remainingCodec) EncodeRequest(_ http.Header, a Attempt) { c.remaining <- a.Remaining }
