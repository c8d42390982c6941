package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/rattanlanding/rattanlanding/upstream"
)

var _ = Describe("A response without a length to a request that is still being sent", func() {
	DescribeTable("is complete only if its connection isn't reset",
		func(end func(*net.TCPConn), complete types.GomegaMatcher) {
			// Guards against a part of a response that looks complete because sending the
			// request, not reading the response, got the error of the reset connection.
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			ends := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nab")
				<-ends
				end(conn.(*net.TCPConn))
			}()
			conn, err := upstream.NewPool(upstream.Config{}).Get(context.Background(), listener.Addr().String(), true, 0)
			Expect(err).NotTo(HaveOccurred())
			sent := make(chan struct{})
			response, err := conn.Do(context.Background(), &upstream.Request{Method: http.MethodPost, Target: "/x", Host: "h",
				Body:   [][]byte{make([]byte, 64<<20)},
				Retain: func() func() { return func() { close(sent) } },
				IsOwn:  func(int, http.Header) bool { return true }})
			Expect(err).NotTo(HaveOccurred())
			defer response.Abort()
			Expect(response.Early).To(BeTrue())
			close(ends)
			select {
			case <-sent:
			case <-time.After(200 * time.Millisecond):
			}
			body, err := io.ReadAll(response.Body)
			Expect(string(body)).To(Equal("ab"))
			Expect(err).To(complete)
			Eventually(sent).Should(BeClosed(), "the body is retained no longer")
		},
		Entry("reset", func(c *net.TCPConn) {
			_ = c.SetLinger(0)
		}, MatchError(syscall.ECONNRESET)),
		Entry("closed before the request was read", func(*net.TCPConn) {}, MatchError(syscall.ECONNRESET)),
		Entry("ended while the server reads on", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, BeNil()),
		Entry("ended while the server doesn't read", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(time.Second)
		}, BeNil()),
		Entry("ended, then reset", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
		}, BeNil()),
	)
})
