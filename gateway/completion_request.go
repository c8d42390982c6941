package gateway

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// maxTokensLimit is the largest accepted value of max_tokens.
	maxTokensLimit = 32768
	// bytesPerToken is the assumed size of a token, for estimating the length of a
	// prompt before an engine tokenizes it.
	bytesPerToken = 4
	// fieldResume is the field in which the gateway sends an engine the tokens that
	// were already delivered. Callers may not set it.
	fieldResume = "resume_tokens"
)

// completionRequest is a validated body of POST /v1/completions.
type completionRequest struct {
	model     string
	prompt    string
	maxTokens int
	stream    bool
	// fields holds the whole body; unknown fields are passed to the engine unchanged.
	fields map[string]json.RawMessage
}

// parseCompletion decodes and validates the body of a completion request.
func parseCompletion(body []byte) (*completionRequest, error) {
	cr := &completionRequest{}
	if err := json.Unmarshal(body, &cr.fields); err != nil || cr.fields == nil {
		return nil, verdict.BadField("body", "must be a JSON object")
	}
	if err := cr.field("model", &cr.model); err != nil || cr.model == "" {
		return nil, verdict.BadField("model", "must be the name of a service")
	}
	if err := cr.field("prompt", &cr.prompt); err != nil || cr.prompt == "" {
		return nil, verdict.BadField("prompt", "must be a text that is not empty")
	}
	if err := cr.field("max_tokens", &cr.maxTokens); err != nil || cr.maxTokens < 1 || cr.maxTokens > maxTokensLimit {
		return nil, verdict.BadField("max_tokens", "must be from 1 to %d", maxTokensLimit)
	}
	if err := cr.field("stream", &cr.stream); err != nil {
		return nil, verdict.BadField("stream", "must be true or false")
	}
	n := 1
	if err := cr.field("n", &n); err != nil || n != 1 {
		return nil, verdict.BadField("n", "must be 1")
	}
	if _, found := cr.fields[fieldResume]; found {
		return nil, verdict.BadField(fieldResume, "is set by the system only")
	}
	if name := cr.miscasedField(); name != "" {
		return nil, verdict.BadField(name, "must be written in lower case")
	}
	return cr, nil
}

// miscasedField returns the name of a field that differs from a known one only in case,
// or "". An engine whose decoder ignores case would read it in place of the validated
// field.
func (cr *completionRequest) miscasedField() string {
	known := []string{"model", "prompt", "max_tokens", "stream", "n", fieldResume}
	for name := range cr.fields {
		for _, k := range known {
			if name != k && strings.EqualFold(name, k) {
				return name
			}
		}
	}
	return ""
}

// field decodes the named field into value, which is unchanged if the field is absent.
func (cr *completionRequest) field(name string, value any) error {
	raw, found := cr.fields[name]
	if !found {
		return nil
	}
	return json.Unmarshal(raw, value)
}

// promptTokens returns the estimated length of the prompt in tokens.
func (cr *completionRequest) promptTokens() int { return len(cr.prompt)/bytesPerToken + 1 }

// encode returns the request body for an engine that continues after the delivered
// tokens. The engine prefills prompt and delivered tokens together, as the paper
// "Disaggregated LLM Serving, in depth" describes under failure handling.
func (cr *completionRequest) encode(delivered []string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(cr.fields)+2)
	for name, value := range cr.fields {
		fields[name] = value
	}
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = fmt.Append(nil, cr.maxTokens-len(delivered))
	if len(delivered) > 0 {
		tokens, err := json.Marshal(delivered)
		if err != nil {
			return nil, fmt.Errorf("encode delivered tokens: %w", err)
		}
		fields[fieldResume] = tokens
	}
	return json.Marshal(fields)
}
