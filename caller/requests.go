package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 1 << 20

// Completion is a request to a model service.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// completionChunk is the part of an answer or event that callers need.
type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// text joins the chunk's choices.
func (c *completionChunk) text() string {
	var b strings.Builder
	for _, choice := range c.Choices {
		b.WriteString(choice.Text)
	}
	return b.String()
}

// Complete streams or fetches a completion and passes each part of the text to
// onText, which may be nil. It returns the whole text. An answer without its end
// marker is an error with verdict.MayHaveRun.
func (c *Client) Complete(ctx context.Context, completion Completion, onText func(string)) (string, error) {
	body, err := json.Marshal(completion)
	if err != nil {
		return "", verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "completion").WithCause(err)
	}
	response, err := c.send(ctx, message{
		method: http.MethodPost,
		path:   "/v1/completions",
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if !completion.Stream {
		return readCompletion(response.Body, onText)
	}
	return readStream(response.Body, onText)
}

// readCompletion reads an answer that is not streamed.
func readCompletion(body io.Reader, onText func(string)) (string, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return "", incomplete(err)
	}
	var chunk completionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return "", incomplete(err)
	}
	text := chunk.text()
	if onText != nil {
		onText(text)
	}
	return text, nil
}

// readStream reads events up to the end marker.
func readStream(body io.Reader, onText func(string)) (string, error) {
	var whole strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	failed := false
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			failed = true
			continue
		}
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case !isData:
			continue
		case failed:
			return whole.String(), refusal(http.StatusOK, []byte(data))
		case data == "[DONE]":
			return whole.String(), nil
		}
		var chunk completionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return whole.String(), incomplete(err)
		}
		text := chunk.text()
		whole.WriteString(text)
		if onText != nil {
			onText(text)
		}
	}
	return whole.String(), incomplete(scanner.Err())
}

// incomplete is the error of an answer that was cut short.
func incomplete(cause error) *verdict.Error {
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonIncompleteAnswer, "the answer was cut short").WithCause(cause)
}

// Call is a call to a plain service.
type Call struct {
	Service string
	Method  string
	// Path starts with "/".
	Path string
	// IdempotencyKey, when not empty, makes a repeat get the first answer.
	IdempotencyKey string
	ContentType    string
	Body           []byte
}

// Answer is a plain service's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Replayed tells that the call had run before and this is its first answer.
func (a *Answer) Replayed() bool { return a.Header.Get("Rattanlanding-Replayed") == "true" }

// Do makes a call to a plain service.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	header := http.Header{}
	if call.IdempotencyKey != "" {
		header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	response, err := c.send(ctx, message{
		method: call.Method,
		path:   "/services/" + call.Service + call.Path,
		header: header,
		body:   call.Body,
		keyed:  call.IdempotencyKey != "",
	})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, incomplete(err)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
