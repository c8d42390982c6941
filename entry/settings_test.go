package entry_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/entry"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

var _ = Describe("Settings", func() {
	It("names the field that is wrong", func() {
		// Guards against a node that starts with half of its settings.
		for text, field := range map[string]string{
			`{"node": "A b"}`:                      "node",
			`{"stopTime": 8}`:                      "stopTime",
			`{"callerAddress": "host:1"}`:          "callerAddress",
			`{"seeds": ["x"]}`:                     "seeds[0]",
			`{"logLevel": "loud"}`:                 "logLevel",
			`{"unknown": 1}`:                       "unknown",
			`{"memoryBytes": 5, "retryRatio": -1}`: "memoryBytes",
		} {
			_, err := entry.ParseSettings([]byte(text))
			Expect(err).To(MatchError(ContainSubstring(field)), text)
		}
	})
})
