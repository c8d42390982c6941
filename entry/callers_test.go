package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/httpdrain"
	"github.com/rattanlanding/rattanlanding/internal/httpdrain/httpdraintest"
)

// Guards against callers whose connection was established, but not yet accepted by the
// process, when the node stopped: their requests were reset.
func TestStopAnswersQueuedConnections(t *testing.T) {
	g := NewWithT(t)
	for range 20 {
		listener, err := httpdrain.Listen("tcp4", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), listener, nil, log.NewNopLogger())
		callers := httpdraintest.Queue(g, listener.Addr().String(), 60)
		ended := make(chan error, 1)
		go func() { ended <- s.run() }()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		s.shutdown(ctx)
		cancel()
		callers.ExpectStatus(g, http.StatusNoContent)
		g.Eventually(ended).WithTimeout(time.Second).Should(Receive(BeNil()))
	}
}
