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
	// maxLineBytes is the largest length of a line of an event stream.
	maxLineBytes = 64 << 10
	// lineBufferSize is the buffer size of each stream, in bytes, and fits usual lines.
	// A node has many streams at once, so memory for longer lines is allocated only when
	// one arrives.
	lineBufferSize = 4 << 10
	// drainTimeout limits the wait for the end of the body after the end marker.
	// Reading the body to its end allows the connection to be reused.
	drainTimeout = 50 * time.Millisecond
)

// endMarker is the data of the event that ends a complete stream.
var endMarker = []byte("[DONE]")

// Event is one token of a stream.
type Event struct {
	// Data is the event's JSON. It is valid until the next call of Next.
	Data []byte
	// Position is the token's index in the whole completion, from 0.
	Position int
	Text     string
	// FinishReason is the reason why generation ended. Some engines set it on the last
	// token.
	FinishReason string
}

// Stream is the response to one attempt.
type Stream interface {
	// Next returns the next token, io.EOF after the engine's end marker, or a
	// *verdict.Error if the stream was truncated or is invalid.
	Next() (Event, error)
	// Close releases the connection. To interrupt a blocked Next, cancel the context.
	Close() error
}

// wireEvent is the JSON form of an event. Each event carries one token.
type wireEvent struct {
	// Attempt, if present, must be the attempt's identity.
	Attempt string `json:"attempt"`
	// Position, if present, is the index of the token in the whole completion.
	Position *int `json:"position"`
	Choices  []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// stream implements Stream.
type stream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	body    io.ReadCloser
	lines   *bufio.Reader
	attempt string
	// nextPosition is the position of the next token.
	nextPosition int
	// lastText is the text of the last token, to recognise a repeated event.
	lastText string
	// done is true after the end marker.
	done bool
}

func newStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, a Attempt) *stream {
	return &stream{ctx: ctx, cancel: cancel, body: body, attempt: a.ID, nextPosition: a.From,
		lines: bufio.NewReaderSize(body, lineBufferSize)}
}

// Next implements Stream.
func (s *stream) Next() (Event, error) {
	isError := false
	for !s.done {
		line, err := s.readLine()
		if err != nil {
			return Event{}, s.readError(err)
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

// readLine returns the next line, which is valid until the next call.
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

// parse decodes one event. repeated is true if the event repeats the previous token. Any
// other token out of order is an error, because tokens were lost or mixed up.
func (s *stream) parse(data []byte) (event Event, repeated bool, err error) {
	var w wireEvent
	if err := json.Unmarshal(data, &w); err != nil || len(w.Choices) != 1 {
		return Event{}, false, wrongAnswerError("event is not valid")
	}
	if w.Attempt != "" && w.Attempt != s.attempt {
		return Event{}, false, wrongAnswerError("event belongs to another attempt")
	}
	text := w.Choices[0].Text
	if w.Position != nil && *w.Position != s.nextPosition {
		if *w.Position == s.nextPosition-1 && text == s.lastText {
			return Event{}, true, nil
		}
		return Event{}, false, wrongAnswerError("event is out of order")
	}
	event = Event{Data: data, Position: s.nextPosition, Text: text, FinishReason: w.Choices[0].FinishReason}
	s.nextPosition++
	s.lastText = text
	return event, false, nil
}

// wrongAnswerError is the error of a response that is invalid or belongs to another
// attempt.
func wrongAnswerError(message string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonWrongAnswer, "%s", message)
}

// readError returns the error of a stream that failed with err before its end marker.
func (s *stream) readError(err error) error {
	if err == bufio.ErrBufferFull {
		return wrongAnswerError("line of the event stream is too long")
	}
	e := transportError(s.ctx, verdict.MayHaveRun, "stream ended before its end marker")
	if e.Reason == verdict.ReasonBackendFailed {
		e.Reason = verdict.ReasonIncompleteAnswer
	}
	return e.WithCause(err)
}

// engineError returns the error that the engine reported in the stream. Tokens may have
// been produced, so the verdict is never NotRun, whatever the engine reported.
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
