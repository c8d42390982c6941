package gateway

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// FuzzParseCompletion guards against a caller's body that crashes the node, is
// refused without a field, or reaches an engine with other values than those
// that were checked.
func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"llm","prompt":"p","max_tokens":4,"stream":true}`,
		`{"model":"llm","prompt":"p","max_tokens":1,"temperature":0.5}`,
		`{"model":"llm","prompt":"p","max_tokens":1,"Max_Tokens":99}`,
		`{"model":"llm","prompt":"p","max_tokens":1,"resume_tokens":["a"]}`,
		`{"model":"llm","prompt":"p","max_tokens":1,"n":2}`,
		`[]`, `null`, `{"prompt":`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		query, err := parseCompletion(body)
		if err != nil {
			e := verdict.Of(err)
			if e.Verdict != verdict.NotRun || e.Field == "" {
				t.Fatalf("error %v does not have the verdict not-run and a field", err)
			}
			return
		}
		checkEncoded(t, query)
	})
}

// checkEncoded decodes the body that query produces for an engine. The decoder ignores
// the case of field names, as that of an engine may.
func checkEncoded(t *testing.T, query *completionRequest) {
	delivered := []string{"a", "b"}
	encoded, err := query.encode(delivered)
	if err != nil {
		t.Fatal(err)
	}
	var engine struct {
		Prompt    string   `json:"prompt"`
		MaxTokens int      `json:"max_tokens"`
		Resume    []string `json:"resume_tokens"`
	}
	if err := json.Unmarshal(encoded, &engine); err != nil {
		t.Fatalf("engine can't decode %s: %v", encoded, err)
	}
	if engine.Prompt != query.prompt || engine.MaxTokens != query.maxTokens-len(delivered) ||
		!slices.Equal(engine.Resume, delivered) {
		t.Fatalf("engine decodes other values: %+v from %s", engine, encoded)
	}
}
