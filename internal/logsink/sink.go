// Package logsink writes log lines beside the callers, so that a slow or blocked
// output never holds up a request. Lines that don't fit are dropped and counted.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// capacity is the number of lines that wait for the output.
	capacity = 2048
	// closeTimeout bounds the wait for the output at the end.
	closeTimeout = 200 * time.Millisecond
	// batchBytes is the size from which gathered lines are written.
	batchBytes = 32 << 10
)

// Sink is an io.Writer that never blocks. Each call of Write is one line.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// New returns a sink in front of an output.
func New(output io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go s.run(output)
	return s
}

// Write implements io.Writer.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last report.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits, within a bounded time. Nothing is written afterwards.
func (s *Sink) Close() {
	s.close.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

func (s *Sink) run(output io.Writer) {
	defer close(s.done)
	var batch bytes.Buffer
	for line := range s.lines {
		batch.Write(line)
		s.gather(&batch)
		if n := s.dropped.Swap(0); n > 0 {
			fmt.Fprintf(&batch, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
		}
		// There is nowhere left to report a failed output to.
		_, _ = output.Write(batch.Bytes())
		batch.Reset()
	}
}

// gather adds the lines that wait already.
func (s *Sink) gather(batch *bytes.Buffer) {
	for batch.Len() < batchBytes {
		select {
		case line, open := <-s.lines:
			if !open {
				return
			}
			batch.Write(line)
		default:
			return
		}
	}
}
