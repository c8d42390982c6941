package gateway

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// maxTokensLimit is the largest max_tokens.
	maxTokensLimit = 32768
	// bytesPerToken estimates the tokens of a prompt before an engine counted
	// them.
	bytesPerToken = 4
	fieldResume   = "resume_tokens"
)

// completionRequest is a validated body of POST /v1/completions.
type completionRequest struct {
	model     string
	prompt    string
	maxTokens int
	stream    bool
	// fields holds the whole body; unknown fields go to the engine unchanged.
	fields map[string]json.RawMessage
}

// parseCompletion validates body.
func parseCompletion(body []byte) (*completionRequest, error) {
	q := &completionRequest{}
	if err := json.Unmarshal(body, &q.fields); err != nil || q.fields == nil {
		return nil, verdict.BadField("body", "must be a JSON object")
	}
	if err := q.field("model", &q.model); err != nil || q.model == "" {
		return nil, verdict.BadField("model", "must be the name of a service")
	}
	if err := q.field("prompt", &q.prompt); err != nil || q.prompt == "" {
		return nil, verdict.BadField("prompt", "must be a text that is not empty")
	}
	if err := q.field("max_tokens", &q.maxTokens); err != nil || q.maxTokens < 1 || q.maxTokens > maxTokensLimit {
		return nil, verdict.BadField("max_tokens", "must be from 1 to %d", maxTokensLimit)
	}
	if err := q.field("stream", &q.stream); err != nil {
		return nil, verdict.BadField("stream", "must be true or false")
	}
	n := 1
	if err := q.field("n", &n); err != nil || n != 1 {
		return nil, verdict.BadField("n", "must be 1")
	}
	if _, found := q.fields[fieldResume]; found {
		return nil, verdict.BadField(fieldResume, "is set by the system only")
	}
	if name := q.misspelt(); name != "" {
		return nil, verdict.BadField(name, "must be written in lower case")
	}
	return q, nil
}

// misspelt returns a field that differs from a known one only in case. An engine
// that ignores case would read it in place of the checked field.
func (q *completionRequest) misspelt() string {
	known := []string{"model", "prompt", "max_tokens", "stream", "n", fieldResume}
	for name := range q.fields {
		for _, k := range known {
			if name != k && strings.EqualFold(name, k) {
				return name
			}
		}
	}
	return ""
}

func (q *completionRequest) field(name string, value any) error {
	raw, found := q.fields[name]
	if !found {
		return nil
	}
	return json.Unmarshal(raw, value)
}

// promptTokens estimates the prompt's length.
func (q *completionRequest) promptTokens() int { return len(q.prompt)/bytesPerToken + 1 }

// encode returns the body for an engine that goes on after the delivered tokens.
// The engine treats prompt and delivered tokens as a new prefill, as the paper
// "Disaggregated LLM Serving, in depth" describes under failure handling.
func (q *completionRequest) encode(delivered []string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(q.fields)+2)
	for name, value := range q.fields {
		fields[name] = value
	}
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = fmt.Append(nil, q.maxTokens-len(delivered))
	if len(delivered) > 0 {
		tokens, err := json.Marshal(delivered)
		if err != nil {
			return nil, fmt.Errorf("encode delivered tokens: %w", err)
		}
		fields[fieldResume] = tokens
	}
	return json.Marshal(fields)
}
