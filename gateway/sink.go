package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// sink delivers a completion to the caller. An error of token or end means that
// the caller went away.
type sink interface {
	token(event backend.Event) error
	end() error
	// fail delivers err and reports whether it did; if not, the common error
	// answer is written.
	fail(err *verdict.Error) bool
}

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	streamEnd   = []byte("data: [DONE]\n\n")
)

// streamSink passes each event on as it arrives.
type streamSink struct {
	gateway *Gateway
	request *request
	begun   bool
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
	return s.finish(eventEnd)
}

func (s *streamSink) begin() {
	s.gateway.extendWrite(s.request.ctx)
	if s.begun {
		return
	}
	s.begun = true
	header := s.request.ctx.Writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.request.ctx.Writer.WriteHeader(http.StatusOK)
}

func (s *streamSink) finish(data []byte) error {
	w := s.request.ctx.Writer
	if _, err := w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// end implements sink.
func (s *streamSink) end() error {
	s.begin()
	return s.finish(streamEnd)
}

// fail implements sink.
func (s *streamSink) fail(err *verdict.Error) bool {
	if !s.begun {
		return false
	}
	body, encodeErr := json.Marshal(err.Body(s.request.id))
	if encodeErr != nil {
		return true
	}
	s.begin()
	_ = s.finish([]byte("event: error\ndata: " + string(body) + "\n\n"))
	return true
}

// wholeSink collects the answer and delivers it only when it is complete.
type wholeSink struct {
	gateway *Gateway
	request *request
	query   *completionRequest
	text    strings.Builder
	tokens  int
	reason  string
}

// Completion is the answer of a completion that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the text of a Completion.
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
func (s *wholeSink) token(event backend.Event) error {
	s.text.WriteString(event.Text)
	s.tokens++
	if event.FinishReason != "" {
		s.reason = event.FinishReason
	}
	return s.request.ctx.Request.Context().Err()
}

// end implements sink.
func (s *wholeSink) end() error {
	s.gateway.extendWrite(s.request.ctx)
	prompt := s.query.promptTokens()
	s.request.ctx.JSON(http.StatusOK, Completion{
		ID: s.request.id, Object: "text_completion", Created: time.Now().Unix(), Model: s.query.model,
		Choices: []Choice{{Text: s.text.String(), FinishReason: s.reason}},
		Usage:   Usage{PromptTokens: prompt, CompletionTokens: s.tokens, TotalTokens: prompt + s.tokens},
	})
	return nil
}

// fail implements sink.
func (s *wholeSink) fail(*verdict.Error) bool { return false }
