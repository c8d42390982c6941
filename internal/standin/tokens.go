package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the output token at index for an organisation's prompt. It is the
// same on every engine, so that a checker can compute the expected output.
func Token(organisation, prompt string, index int) string {
	var h xxhash.Digest
	h.Reset()
	for _, part := range []string{organisation, prompt, strconv.Itoa(index)} {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return " " + strconv.FormatUint(h.Sum64(), 36)
}

// Text returns the output tokens from (included) to end (excluded) as one string.
func Text(organisation, prompt string, from, end int) string {
	var b strings.Builder
	for i := from; i < end; i++ {
		b.WriteString(Token(organisation, prompt, i))
	}
	return b.String()
}

// PromptTokens returns the number of a prompt's tokens, which are its words.
func PromptTokens(prompt string) int { return len(strings.Fields(prompt)) }
