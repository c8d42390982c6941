package httpdrain_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/httpdrain"
	"github.com/rattanlanding/rattanlanding/internal/httpdrain/httpdraintest"
)

// servedListener closes serving when its server calls Accept for the first time.
type servedListener struct {
	net.Listener
	serving chan struct{}
	started bool
}

func (l *servedListener) Accept() (net.Conn, error) {
	if !l.started {
		l.started = true
		close(l.serving)
	}
	return l.Listener.Accept()
}

// Guards against callers whose connection was established, but not yet accepted by the
// process, when the server stopped: their requests were reset. Also guards against
// requests that http.Server.Shutdown reads and drops.
func TestStopAnswersQueuedConnections(t *testing.T) {
	g := NewWithT(t)
	for range 20 {
		listener, err := httpdrain.Listen("tcp4", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		callers := httpdraintest.Queue(g, address, 60)
		server := httpdrain.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })})
		served := &servedListener{Listener: listener, serving: make(chan struct{})}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(served) }()
		<-served.serving
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		g.Expect(server.Stop(ctx)).To(Succeed())
		cancel()
		g.Expect(<-ended).To(MatchError(http.ErrServerClosed))
		callers.ExpectStatus(g, http.StatusNoContent)
		_, err = net.Dial("tcp4", address)
		g.Expect(err).To(HaveOccurred(), "the address is still served after the stop")
	}
}

// Guards against callers whose connection is reset because it was still in the queue at the end
// of the time for which new ones are accepted.
func TestLateAcceptReturnsQueuedConnections(t *testing.T) {
	g := NewWithT(t)
	listener, err := httpdrain.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	for range 3 {
		caller, err := net.Dial("tcp4", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer caller.Close()
	}
	g.Expect(listener.Close()).To(Succeed())
	time.Sleep(400 * time.Millisecond)
	for range 3 {
		conn, err := listener.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Close()).To(Succeed())
	}
	_, err = listener.Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
	_, err = net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).To(HaveOccurred(), "the address is still served")
}

// Guards against a connection that is closed although a request arrives on it just when the
// server stops and has been read in part: the server took it for idle until the head was
// complete.
func TestStopAnswersRequestsThatAreBeingRead(t *testing.T) {
	for name, kept := range map[string]bool{"kept connection": true, "new connection": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			listener, err := httpdrain.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			server := httpdrain.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })})
			go func() { _ = server.Serve(listener) }()
			dial := func() net.Conn {
				caller, err := net.Dial("tcp4", listener.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(caller.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				return caller
			}
			caller, idle := dial(), dial()
			defer caller.Close()
			defer idle.Close()
			reader := bufio.NewReader(caller)
			answer := func() *http.Response {
				response, err := http.ReadResponse(reader, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
				return response
			}
			if kept {
				_, _ = fmt.Fprint(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				g.Expect(answer().Close).To(BeFalse())
			}
			_, _ = fmt.Fprint(caller, "GET / HTTP/1.1\r\nHo")
			// A new connection is waited for anyway for a second.
			time.Sleep(1100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Stop(ctx) }()
			time.Sleep(100 * time.Millisecond)
			_, _ = fmt.Fprint(caller, "st: h\r\n\r\n")
			g.Expect(answer().Close).To(BeTrue())
			g.Eventually(stopped).Should(Receive(BeNil()), "the idle connection doesn't delay the stop")
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
		})
	}
}
