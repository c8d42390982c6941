package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/logsink"
)

// blockedWriter is an output that blocks until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// Guards against a request that waits for a blocked output, and against dropped lines
// that are not reported in the log.
func TestWriteNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	sink := logsink.New(out)
	started := time.Now()
	for i := range 10_000 {
		_, err := fmt.Fprintf(sink, "line=%d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	g.Expect(sink.Dropped()).To(BeNumerically(">", 0))
	close(out.unblock)
	sink.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	g.Expect(out.buf.String()).To(HavePrefix("line=0\n"))
	g.Expect(out.buf.String()).To(ContainSubstring("log lines dropped"))
}

// Guards against the loss of queued lines when a process exits.
func TestCloseWritesQueuedLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	sink := logsink.New(&out)
	_, err := io.WriteString(sink, "last\n")
	g.Expect(err).NotTo(HaveOccurred())
	sink.Close()
	g.Expect(out.String()).To(Equal("last\n"))
}

// Guards against a flood of one message that displaces all others, and against lines
// that are left out without being counted in the log.
func TestLimitPerMessage(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	now := time.Unix(100, 0)
	logger := logsink.LimitAt(log.NewLogfmtLogger(&out), func() time.Time { return now })
	for range 2000 {
		g.Expect(level.Info(logger).Log("msg", "sent")).To(Succeed())
		g.Expect(level.Warn(logger).Log("msg", "broken")).To(Succeed())
	}
	g.Expect(logger.Log("msg", "once")).To(Succeed())
	g.Expect(bytes.Count(out.Bytes(), []byte("msg=sent"))).To(Equal(250))
	g.Expect(bytes.Count(out.Bytes(), []byte("msg=broken"))).To(Equal(1000))
	g.Expect(out.String()).To(ContainSubstring("msg=once"))
	now = now.Add(time.Second)
	g.Expect(level.Info(logger).Log("msg", "sent")).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring(`msg="log lines left out" of=sent lines=1750`))
}

// Guards against a process that panics because something is logged after the sink was
// closed.
func TestWriteAfterCloseIsDropped(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	sink := logsink.New(&out)
	sink.Close()
	_, err := io.WriteString(sink, "late\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(BeEmpty())
}
