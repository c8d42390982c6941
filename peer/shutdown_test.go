package peer

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stop that cuts off answers, that waits for idle connections,
// or that never ends.
func TestShutdownWaitsForAnswersOnly(t *testing.T) {
	for _, c := range []struct{ answering, took time.Duration }{
		{0, shutdownPoll},
		{10 * shutdownPoll, 11 * shutdownPoll},
		{time.Hour, shutdownTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var running atomic.Int64
			if c.answering > 0 {
				running.Add(1)
				time.AfterFunc(c.answering+time.Millisecond, func() { running.Add(-1) })
			}
			began := time.Now()
			shutdown(t.Context(), &http.Server{}, &running)
			g.Expect(time.Since(began)).To(Equal(c.took))
		})
	}
}
