package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/drain"
)

var _ = Describe("Handler of a node that stops", func() {
	const answers = 600 * time.Millisecond
	grace := drain.Grace{Total: 3 * answers, Answers: answers}

	DescribeTable("refuses a request whose body doesn't arrive in time",
		// Guards against a connection that is closed, or a status after which the caller doesn't
		// try another node, although the request has not run.
		func(leaveFirst bool) {
			server := &scriptedServer{}
			node := newScriptedNode(server.listen())
			handler, ok := node.Config.Handler.(*Handler)
			Expect(ok).To(BeTrue())
			began := time.Now()
			if leaveFirst {
				handler.SetLeaving(grace)
			}
			caller, err := net.Dial("tcp", node.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(caller.Close)
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
		Entry("that came before the stop", false),
		Entry("that came during the stop", true),
	)
})
