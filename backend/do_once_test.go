package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// closingServer is a server that closes a connection after reading a call from it,
// without a response. If answerFirst is set, it responds to the first call of each
// connection.
type closingServer struct {
	answerFirst bool
	calls       atomic.Int64
	listener    net.Listener
}

func newClosingServer(answerFirst bool) *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &closingServer{answerFirst: answerFirst, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	DeferCleanup(listener.Close)
	return s
}

func (s *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.calls.Add(1)
		if !first || !s.answerFirst {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRattanlanding-Attempt: "+
			request.Header.Get(backend.HeaderAttempt)+"\r\nContent-Length: 0\r\n\r\n")
	}
}

var _ = Describe("DoOnce", func() {
	DescribeTable("never sends a call twice, even if connections break",
		// Guards against net/http resending a call when a kept-alive connection breaks,
		// which would charge a deposit twice.
		func(method string, body []byte, answerFirst bool) {
			server := newClosingServer(answerFirst)
			plain := backend.NewPlainClient(metrics.NewRegistry())
			const calls = 20
			for range calls {
				_, err := plain.DoOnce(context.Background(), backend.Call{ID: "a1", Method: method, Body: body,
					Address: server.listener.Addr().String(), Header: http.Header{"Idempotency-Key": {"k1"}}})
				if answerFirst {
					Expect(err).NotTo(HaveOccurred())
				} else {
					Expect(verdict.Of(err).Verdict).To(Equal(verdict.MayHaveRun))
				}
			}
			Expect(server.calls.Load()).To(Equal(int64(calls)))
		},
		Entry("POST without body", http.MethodPost, nil, false),
		Entry("POST with body", http.MethodPost, []byte("x"), false),
		Entry("GET without body", http.MethodGet, nil, false),
		Entry("POST without body on a connection that had a response before", http.MethodPost, nil, true),
		Entry("POST with body on a connection that had a response before", http.MethodPost, []byte("x"), true),
		Entry("GET without body on a connection that had a response before", http.MethodGet, nil, true),
	)

	It("differs from Do, whose calls net/http resends", func() {
		// Guards against a test server with which net/http would not resend calls anyway,
		// so that the specs above would prove nothing.
		server := newClosingServer(true)
		plain := backend.NewPlainClient(metrics.NewRegistry())
		for range 2 {
			_, err := plain.Do(context.Background(), backend.Call{ID: "a1", Method: http.MethodGet,
				Address: server.listener.Addr().String(), Header: http.Header{}})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(server.calls.Load()).To(BeNumerically(">", 2))
	})
})
