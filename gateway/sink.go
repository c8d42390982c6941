package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// sink delivers a completion to the caller. An error of token or end means that the
// caller has disconnected.
type sink interface {
	// token delivers the next token.
	token(event backend.Event) error
	// end completes the response.
	end() error
	// fail delivers err within the response and reports whether it did. If it did not,
	// the usual error response is written.
	fail(err *verdict.Error) bool
}

var (
	// eventPrefix precedes the data of an event.
	eventPrefix = []byte("data: ")
	// eventEnd ends an event.
	eventEnd = []byte("\n\n")
	// streamEnd is the event that marks the end of a complete stream.
	streamEnd = []byte("data: [DONE]\n\n")
)

// streamSink passes each event on as it arrives, as server-sent events.
type streamSink struct {
	gateway *Gateway
	request *request
	// headerWritten is true once the response's status and header were written.
	headerWritten bool
}

// token implements sink. The event's bytes go from the read buffer straight into
// the response writer.
func (s *streamSink) token(event backend.Event) error {
	s.begin()
	w := s.request.ctx.Writer
	if _, err := w.Write(eventPrefix); err != nil {
		return err
	}
	if _, err := w.Write(event.Data); err != nil {
		return err
	}
	return s.writeAndFlush(eventEnd)
}

// begin extends the write deadline and writes the response header before the first event.
func (s *streamSink) begin() {
	s.gateway.extendWriteDeadline(s.request.ctx)
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	header := s.request.ctx.Writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.request.ctx.Writer.WriteHeader(http.StatusOK)
}

// writeAndFlush writes data and flushes the response to the caller.
func (s *streamSink) writeAndFlush(data []byte) error {
	w := s.request.ctx.Writer
	if _, err := w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// end implements sink.
func (s *streamSink) end() error {
	s.begin()
	return s.writeAndFlush(streamEnd)
}

// fail implements sink.
func (s *streamSink) fail(err *verdict.Error) bool {
	if !s.headerWritten {
		return false
	}
	body, encodeErr := json.Marshal(err.Body(s.request.id))
	if encodeErr != nil {
		return true
	}
	s.begin()
	_ = s.writeAndFlush([]byte("event: error\ndata: " + string(body) + "\n\n"))
	return true
}

// bufferedSink collects the completion and delivers it only when it is complete.
type bufferedSink struct {
	gateway *Gateway
	request *request
	params  *completionRequest
	text    strings.Builder
	tokens  int
	// reason is the finish reason of the last token that had one.
	reason string
}

// Completion is the response body of a completion that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice holds the text of a Completion.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts the tokens of a Completion. Prompt tokens are an estimate.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// token implements sink.
func (s *bufferedSink) token(event backend.Event) error {
	s.text.WriteString(event.Text)
	s.tokens++
	if event.FinishReason != "" {
		s.reason = event.FinishReason
	}
	return s.request.ctx.Request.Context().Err()
}

// end implements sink.
func (s *bufferedSink) end() error {
	s.gateway.extendWriteDeadline(s.request.ctx)
	prompt := s.params.promptTokens()
	s.request.ctx.JSON(http.StatusOK, Completion{
		ID: s.request.id, Object: "text_completion", Created: time.Now().Unix(), Model: s.params.model,
		Choices: []Choice{{Text: s.text.String(), FinishReason: s.reason}},
		Usage:   Usage{PromptTokens: prompt, CompletionTokens: s.tokens, TotalTokens: prompt + s.tokens},
	})
	return nil
}

// fail implements sink. Nothing has been written yet, so the usual error response can be.
func (s *bufferedSink) fail(*verdict.Error) bool { return false }
