package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	eventBuffer = 4 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

var errEventTooLarge = fmt.Errorf("event has more than %d bytes", maxEvent)

// event is one event of a stream with the blank line that ends it.
type event struct {
	raw []byte
	// id is empty if the event has none.
	id string
}

var eventBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBuffer) }}

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
}

func newEventReader(body io.Reader) *eventReader {
	reader := eventBuffers.Get().(*bufio.Reader)
	reader.Reset(body)
	return &eventReader{reader: reader}
}

// free returns the buffer; the reader isn't used afterwards.
func (r *eventReader) free() {
	r.reader.Reset(nil)
	eventBuffers.Put(r.reader)
}

// next returns the next whole event. It returns io.EOF at the end of the stream,
// and io.ErrUnexpectedEOF if the stream ends within an event. The event is valid
// until the next call.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	var e event
	lineStart := true
	for {
		part, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			lineStart = false
			if len(r.raw) > maxEvent {
				return event{}, errEventTooLarge
			}
			continue
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line := bytes.TrimRight(part, "\r\n")
		if lineStart && len(line) == 0 {
			e.raw = r.raw
			return e, nil
		}
		if lineStart {
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.id = string(bytes.TrimPrefix(id, []byte(" ")))
			}
		}
		lineStart = true
	}
}
