package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rattanlanding/rattanlanding/internal/readall"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxEventBytes is the largest length of a line of an event stream.
const maxEventBytes = 1 << 20

// Completion is a completion request to a model service.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// completionChunk holds the fields of a response or of a stream's event that are used.
type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// text returns the text of all choices.
func (c *completionChunk) text() string {
	var b strings.Builder
	for _, choice := range c.Choices {
		b.WriteString(choice.Text)
	}
	return b.String()
}

// Complete requests a completion, streamed or not, and passes each piece of the text to
// onText, which may be nil. It returns the whole text. For a stream without its end marker
// it returns the text received so far and an error with verdict.MayHaveRun.
func (c *Client) Complete(ctx context.Context, completion Completion, onText func(string)) (string, error) {
	body, err := json.Marshal(completion)
	if err != nil {
		return "", verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "completion request can't be encoded").WithCause(err)
	}
	response, err := c.send(ctx, nodeRequest{
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

// readCompletion reads a response that is not streamed.
func readCompletion(body io.Reader, onText func(string)) (string, error) {
	data, err := readall.Limited(body, maxResponseBytes)
	if err != nil {
		return "", incompleteError(err)
	}
	var chunk completionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return "", incompleteError(err)
	}
	text := chunk.text()
	if onText != nil {
		onText(text)
	}
	return text, nil
}

// readStream reads the events of a streamed response up to the end marker.
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
			return whole.String(), refusalError(http.StatusOK, []byte(data))
		case data == "[DONE]":
			return whole.String(), nil
		}
		var chunk completionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return whole.String(), incompleteError(err)
		}
		text := chunk.text()
		whole.WriteString(text)
		if onText != nil {
			onText(text)
		}
	}
	return whole.String(), incompleteError(scanner.Err())
}

// incompleteError returns the error of a response that ended early or is invalid.
func incompleteError(cause error) *verdict.Error {
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonIncompleteAnswer, "response ended early or is not valid").WithCause(cause)
}

// Call is a call to a plain service.
type Call struct {
	Service string
	Method  string
	// Path starts with "/".
	Path string
	// IdempotencyKey, if not empty, makes a repeat of the call get the response of the
	// first one.
	IdempotencyKey string
	ContentType    string
	Body           []byte
}

// Response is the response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Replayed reports whether the call ran before and this is the stored response.
func (r *Response) Replayed() bool { return r.Header.Get("Rattanlanding-Replayed") == "true" }

// Do calls a plain service. It returns the response of the backend server whatever its
// status; errors are *verdict.Error values.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	header := http.Header{}
	if call.IdempotencyKey != "" {
		header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	response, err := c.send(ctx, nodeRequest{
		method:     call.Method,
		path:       "/services/" + call.Service + call.Path,
		header:     header,
		body:       call.Body,
		idempotent: call.IdempotencyKey != "",
	})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := readall.Limited(response.Body, maxResponseBytes)
	if err != nil {
		return nil, incompleteError(err)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
