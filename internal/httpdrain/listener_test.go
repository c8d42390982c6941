package httpdrain

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against callers whose connection was established, but not yet accepted by the
// process, when the server stopped: their requests were reset.
func TestStopAnswersQueuedConnections(t *testing.T) {
	g := NewWithT(t)
	const callers = 60
	for range 20 {
		listener, err := Listen("tcp4", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		var conns []net.Conn
		for range callers {
			conn, err := net.Dial("tcp4", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			g.Expect(err).NotTo(HaveOccurred())
			conns = append(conns, conn)
		}
		server := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })})
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener) }()
		g.Eventually(server.isServing).Should(BeTrue())
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		g.Expect(server.Stop(ctx)).To(Succeed())
		cancel()
		g.Expect(<-ended).To(MatchError(http.ErrServerClosed))
		for i, conn := range conns {
			g.Expect(conn.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred(), "caller %d", i)
			g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
			g.Expect(conn.Close()).To(Succeed())
		}
		_, err = net.Dial("tcp4", listener.Addr().String())
		g.Expect(err).To(HaveOccurred(), "the address is still served after the stop")
	}
}

func (s *Server) isServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.listeners) > 0
}
