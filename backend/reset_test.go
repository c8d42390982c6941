package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// startEarlyServer starts a server that responds without a length before it has read the
// call, and ends each connection.
func startEarlyServer(end func(*net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRattanlanding-Attempt: a1\r\nConnection: close\r\n\r\nbody")
				time.Sleep(5 * time.Millisecond)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("A response without a length to a call that is still being sent", func() {
	DescribeTable("is complete only if its connection isn't reset", func(end func(*net.TCPConn), matcher OmegaMatcher) {
		// Guards against a part of a response that looks complete because sending the call, not
		// reading the response, got the error of the reset connection.
		plain := backend.NewPlainClient(metrics.NewRegistry())
		call := backend.Call{ID: "a1", Address: startEarlyServer(end), Method: http.MethodPost, Header: http.Header{}, Body: make([]byte, 16<<20)}
		for range 50 {
			_, err := plain.DoOnce(context.Background(), call)
			Expect(err).To(matcher)
		}
	},
		// The call fails before its response is read if the reset is faster than the client.
		Entry("reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, Or(
			haveVerdict(verdict.MayHaveRun, verdict.ReasonIncompleteAnswer), haveVerdict(verdict.MayHaveRun, verdict.ReasonBackendFailed))),
		Entry("ended", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, BeNil()),
	)
})
