package httpdrain_test

import (
	"context"
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
