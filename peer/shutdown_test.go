package peer

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a shutdown that aborts requests in flight, that waits for idle
// connections, or that never ends.
func TestShutdownWaitsOnlyForInFlightRequests(t *testing.T) {
	for _, c := range []struct{ inFlightFor, took time.Duration }{
		{0, shutdownPollInterval},
		{10 * shutdownPollInterval, 11 * shutdownPollInterval},
		{time.Hour, shutdownTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var running atomic.Int64
			if c.inFlightFor > 0 {
				running.Add(1)
				time.AfterFunc(c.inFlightFor+time.Millisecond, func() { running.Add(-1) })
			}
			began := time.Now()
			shutdown(t.Context(), &http.Server{}, &running)
			g.Expect(time.Since(began)).To(Equal(c.took))
		})
	}
}
