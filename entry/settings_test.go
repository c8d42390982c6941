package entry_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
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
	It("names the invalid field in the error", func() {
		// Guards against a node that starts although some of its settings are invalid, and
		// against errors that don't show which.
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

	It("lists the same settings as the table in docs/OPERATIONS.md", func() {
		// Guards against settings that are missing from the operators' documentation.
		page, err := os.ReadFile("../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		section := regexp.MustCompile(`(?s)### Entry settings.*?###`).Find(page)
		var documented, known []string
		for _, line := range regexp.MustCompile("(?m)^\\| `.*$").FindAll(section, -1) {
			cell, _, _ := strings.Cut(string(line[2:]), " | ")
			for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cell, -1) {
				documented = append(documented, name[1])
			}
		}
		for field := range reflect.TypeFor[entry.Settings]().Fields() {
			known = append(known, field.Tag.Get("json"))
		}
		Expect(documented).To(ConsistOf(known))
	})
})
