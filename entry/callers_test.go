package entry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/httpdrain"
)

// Guards against callers whose connection was established, but not yet accepted by the
// process, when the node stopped: their requests were reset.
func TestStopAnswersQueuedConnections(t *testing.T) {
	g := NewWithT(t)
	const callers = 60
	for range 20 {
		listener, err := httpdrain.Listen("tcp4", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), listener, log.NewNopLogger())
		var conns []net.Conn
		for range callers {
			conn, err := net.Dial("tcp4", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			g.Expect(err).NotTo(HaveOccurred())
			conns = append(conns, conn)
		}
		ended := make(chan error, 1)
		go func() { ended <- s.run() }()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		s.shutdown(ctx)
		cancel()
		for i, conn := range conns {
			g.Expect(conn.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred(), "caller %d", i)
			g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
			g.Expect(conn.Close()).To(Succeed())
		}
		g.Eventually(ended).WithTimeout(time.Second).Should(Receive(BeNil()))
	}
}
