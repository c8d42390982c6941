package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/logsink"
)

// stalled is an output that blocks until it is released.
type stalled struct {
	mu   sync.Mutex
	gate chan struct{}
	buf  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against a request that waits for a blocked output, and against dropped
// lines that nobody is told of.
func TestNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &stalled{gate: make(chan struct{})}
	sink := logsink.New(out)
	started := time.Now()
	for i := range 10_000 {
		_, err := fmt.Fprintf(sink, "line=%d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	g.Expect(sink.Dropped()).To(BeNumerically(">", 0))
	close(out.gate)
	sink.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	g.Expect(out.buf.String()).To(HavePrefix("line=0\n"))
	g.Expect(out.buf.String()).To(ContainSubstring("log lines dropped"))
}

// Guards against lines lost at the end of a process.
func TestCloseWritesWhatWaits(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	sink := logsink.New(&out)
	_, err := io.WriteString(sink, "last\n")
	g.Expect(err).NotTo(HaveOccurred())
	sink.Close()
	g.Expect(out.String()).To(Equal("last\n"))
}
