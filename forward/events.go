package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/rattanlanding/rattanlanding/upstream"
)

const (
	// eventBuffer is the size of a read buffer in bytes.
	eventBuffer = 4 << 10
	// maxEvent is the largest size of one event in bytes, and of what is sent between
	// two events with content.
	maxEvent = 256 << 10
	// freeEvent is the size of an event in bytes up to which it needs no reserved memory.
	freeEvent = 8 << 10
)

var (
	errEventTooLarge = fmt.Errorf("event has more than %d bytes", maxEvent)
	errNoContent     = fmt.Errorf("stream sent more than %d bytes without an event with id or data", maxEvent)
)

// event is one event of a stream, including the blank line that ends it.
type event struct {
	raw []byte
	// id is empty if the event has none.
	id string
	// content is true if the event has an id or data, not only comments or blank lines.
	content bool
}

var eventBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBuffer) }}

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
	// memory is the memory for large events; nil means no limit. reserved is the size of raw
	// if that is more than freeEvent.
	memory   upstream.Memory
	reserved int64
	// emptyBytes is the length of the events since the last one with content.
	emptyBytes int
}

func newEventReader(body io.Reader, memory upstream.Memory) *eventReader {
	reader := eventBuffers.Get().(*bufio.Reader)
	reader.Reset(body)
	return &eventReader{reader: reader, memory: memory}
}

// release returns the buffer to its pool. The reader must not be used afterwards.
func (r *eventReader) release() {
	r.reader.Reset(nil)
	eventBuffers.Put(r.reader)
	r.reset()
}

// reset begins an event. The memory of a large one is freed.
func (r *eventReader) reset() {
	r.raw = r.raw[:0]
	if r.reserved > 0 {
		r.memory.Release(r.reserved)
		r.raw, r.reserved = nil, 0
	}
}

// add appends a part to the event.
func (r *eventReader) add(part []byte) error {
	size := len(r.raw) + len(part)
	if size > maxEvent {
		return errEventTooLarge
	}
	if size > cap(r.raw) && size > freeEvent && r.memory != nil {
		larger := min(2*size, maxEvent)
		if !r.memory.TryAcquire(int64(larger)) {
			return upstream.ErrNoMemory
		}
		raw := append(make([]byte, 0, larger), r.raw...)
		r.reset()
		r.raw, r.reserved = raw, int64(larger)
	}
	r.raw = append(r.raw, part...)
	return nil
}

// next returns the next complete event. It returns io.EOF at the end of the stream,
// and io.ErrUnexpectedEOF if the stream ends within an event. The event is valid
// until the next call.
func (r *eventReader) next() (event, error) {
	r.reset()
	var e event
	lineStart := true
	for {
		part, err := r.reader.ReadSlice('\n')
		if err := r.add(part); err != nil {
			return event{}, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			e.content = e.content || (lineStart && hasContent(part))
			lineStart = false
			continue
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line := bytes.TrimRight(part, "\r\n")
		if lineStart && len(line) == 0 {
			e.raw = r.raw
			return r.limitEmpty(e)
		}
		if lineStart {
			e.readField(line)
		}
		lineStart = true
	}
}

// readField parses one line of an event.
func (e *event) readField(line []byte) {
	e.content = e.content || hasContent(line)
	if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		e.id = string(bytes.TrimPrefix(id, []byte(" ")))
	}
}

// hasContent reports whether a line has an id or data.
func hasContent(line []byte) bool {
	return bytes.HasPrefix(line, []byte("id:")) || bytes.HasPrefix(line, []byte("data:"))
}

// limitEmpty returns the event, or an error if too many bytes without content were sent.
func (r *eventReader) limitEmpty(e event) (event, error) {
	if e.content {
		r.emptyBytes = 0
		return e, nil
	}
	if r.emptyBytes += len(e.raw); r.emptyBytes > maxEvent {
		return event{}, errNoContent
	}
	return e, nil
}
