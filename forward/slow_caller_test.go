package forward

import (
	"fmt"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Handler with a caller that doesn't read", func() {
	It("has no request in progress once the time for the response is over", func() {
		// Guards against a blocked write to the caller that outlives the request.
		event := "id: 1\ndata: " + strings.Repeat("x", 1<<16) + "\n\n"
		server := &endlessServer{start: okHead, part: event}
		node := newTestNode(server.listen())
		handler, ok := node.Config.Handler.(*Handler)
		Expect(ok).To(BeTrue())
		caller, err := net.Dial("tcp", node.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		_, err = fmt.Fprint(caller, "GET /stream/ HTTP/1.1\r\nHost: h\r\nId: r\r\nModel: m\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(handler.InFlight).Should(Equal(1))
		Eventually(handler.InFlight).WithTimeout(endlessTimeout + 3*time.Second).Should(BeZero())
	})
})
