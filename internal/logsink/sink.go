// Package logsink writes log lines asynchronously, so that a slow or blocked output
// never delays a request. Lines that don't fit into its queue are dropped and counted.
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
	// queueCapacity is the number of lines that can wait for the output.
	queueCapacity = 2048
	// closeTimeout limits the time for which Close waits for the output.
	closeTimeout = 200 * time.Millisecond
	// batchBytes is the size at which a batch of queued lines is written without
	// adding more.
	batchBytes = 32 << 10
)

// Sink is an io.Writer that never blocks. Each call of Write writes one line.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	// done is closed when writeLoop has written the last line.
	done chan struct{}
	// closed is closed by Close.
	closed chan struct{}
	close  sync.Once
}

// New returns a sink that writes to output.
func New(output io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueCapacity), done: make(chan struct{}), closed: make(chan struct{})}
	go s.writeLoop(output)
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

// Dropped returns the number of dropped lines not yet reported in the output.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines, waiting for at most closeTimeout. Lines that are written
// afterwards are dropped.
func (s *Sink) Close() {
	s.close.Do(func() { close(s.closed) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

// writeLoop writes queued lines in batches, each followed by the number of lines dropped
// since the last one, until the sink is closed.
func (s *Sink) writeLoop(output io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.writeBatch(output, line)
		case <-s.closed:
			for len(s.lines) > 0 {
				s.writeBatch(output, <-s.lines)
			}
			return
		}
	}
}

// writeBatch writes a line and those that are already queued, up to batchBytes.
func (s *Sink) writeBatch(output io.Writer, line []byte) {
	var batch bytes.Buffer
	batch.Write(line)
	for queued := true; queued && batch.Len() < batchBytes; {
		select {
		case line := <-s.lines:
			batch.Write(line)
		default:
			queued = false
		}
	}
	if n := s.dropped.Swap(0); n > 0 {
		fmt.Fprintf(&batch, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
	}
	// An error is ignored because the log itself is the place to report it.
	_, _ = output.Write(batch.Bytes())
}
