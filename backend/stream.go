package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 64 << 10
	// lineBuffer holds usual lines; a node has many streams at once, so longer
	// lines get their memory only when they come.
	lineBuffer = 4 << 10
	// drainTimeout bounds the wait for the end of the body after the end
	// marker. Reading it lets the connection be used again.
	drainTimeout = 50 * time.Millisecond
)

var endMarker = []byte("[DONE]")

// Event is one token of a stream.
type Event struct {
	// Data is the event's JSON; it is valid until the next call of Next.
	Data []byte
	// Position is the token's index in the whole answer, from 0.
	Position int
	Text     string
	// FinishReason is set on the last token by some engines.
	FinishReason string
}

// Stream is the answer to one attempt.
type Stream interface {
	// Next returns the next token, io.EOF after the engine's end marker, or a
	// *verdict.Error when the stream was cut or is wrong.
	Next() (Event, error)
	// Close releases the connection. To end a waiting Next, cancel the context.
	Close() error
}

// wireEvent is the JSON of an event: one token each.
type wireEvent struct {
	// Attempt, when present, must be the attempt's identity.
	Attempt string `json:"attempt"`
	// Position, when present, is the index of the token in the whole answer.
	Position *int `json:"position"`
	Choices  []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

type stream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	body    io.ReadCloser
	lines   *bufio.Reader
	attempt string
	next    int
	last    string
	done    bool
}

func newStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, a Attempt) *stream {
	return &stream{ctx: ctx, cancel: cancel, body: body, attempt: a.ID, next: a.From,
		lines: bufio.NewReaderSize(body, lineBuffer)}
}

// Next implements Stream.
func (s *stream) Next() (Event, error) {
	isError := false
	for !s.done {
		line, err := s.readLine()
		if err != nil {
			return Event{}, s.broken(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if name, ok := bytes.CutPrefix(line, []byte("event:")); ok {
			isError = string(bytes.TrimSpace(name)) == "error"
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimPrefix(data, []byte(" "))
		if isError {
			return Event{}, engineError(data)
		}
		if bytes.Equal(data, endMarker) {
			s.done = true
			break
		}
		event, repeated, err := s.parse(data)
		if err != nil || !repeated {
			return event, err
		}
	}
	return Event{}, io.EOF
}

// readLine returns the next line, valid until the next call.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, err
	}
	long := bytes.Clone(line)
	for err == bufio.ErrBufferFull && len(long) <= maxLineBytes {
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// parse reads one event. An event that repeats the previous token is reported
// as repeated; any other disorder means that tokens were lost or mixed up.
func (s *stream) parse(data []byte) (event Event, repeated bool, err error) {
	var w wireEvent
	if err := json.Unmarshal(data, &w); err != nil || len(w.Choices) != 1 {
		return Event{}, false, wrong("event is not valid")
	}
	if w.Attempt != "" && w.Attempt != s.attempt {
		return Event{}, false, wrong("event belongs to another attempt")
	}
	text := w.Choices[0].Text
	if w.Position != nil && *w.Position != s.next {
		if *w.Position == s.next-1 && text == s.last {
			return Event{}, true, nil
		}
		return Event{}, false, wrong("event is out of order")
	}
	event = Event{Data: data, Position: s.next, Text: text, FinishReason: w.Choices[0].FinishReason}
	s.next++
	s.last = text
	return event, false, nil
}

func wrong(message string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonWrongAnswer, "%s", message)
}

// broken returns the error of a stream that ended without its end marker.
func (s *stream) broken(err error) error {
	if err == bufio.ErrBufferFull {
		return wrong("line of the event stream is too long")
	}
	e := failure(s.ctx, verdict.MayHaveRun, "stream ended before its end marker")
	if e.Reason == verdict.ReasonBackendFailed {
		e.Reason = verdict.ReasonIncompleteAnswer
	}
	return e.WithCause(err)
}

// engineError returns the error that the engine reported in the stream. Tokens
// may have been produced, so the verdict is never NotRun.
func engineError(data []byte) error {
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "engine reported an error")
	if reported, ok := verdict.ParseBody(data); ok {
		return e.WithCause(reported)
	}
	return e
}

// Close implements Stream.
func (s *stream) Close() error {
	if s.done {
		timer := time.AfterFunc(drainTimeout, s.cancel)
		_, _ = s.lines.Discard(maxLineBytes)
		timer.Stop()
	}
	s.cancel()
	return s.body.Close()
}
