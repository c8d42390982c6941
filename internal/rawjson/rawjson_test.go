package rawjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/rawjson"
)

// list returns the fields of an object as "name=value", or the elements of an array.
func list(data string) (all []string, err error) {
	if strings.HasPrefix(strings.TrimSpace(data), "{") {
		err = rawjson.Fields([]byte(data), func(name string, value []byte) error {
			all = append(all, name+"="+string(value))
			return nil
		})
		return all, err
	}
	err = rawjson.Elements([]byte(data), func(element []byte) error {
		all = append(all, string(element))
		return nil
	})
	return all, err
}

// Guards against a value that is cut in the wrong place, and with it a neighbour that is
// lost.
func TestSplitsIntoRawValues(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for data, want := range map[string][]string{
		`{}`:                               nil,
		" [ ] ":                            nil,
		`null`:                             nil,
		`{"a":1,"b" : [2,3]}`:              {"a=1", "b=[2,3]"},
		`{"a":"}\"],","\u0062":{"c":"{"}}`: {`a="}\"],"`, `b={"c":"{"}`},
		`[1 , NaN,"x",{"y":[]},1e999]`:     {"1", "NaN", `"x"`, `{"y":[]}`, "1e999"},
		`[` + deep + `,7]`:                 {deep, "7"},
	} {
		g := NewWithT(t)
		all, err := list(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(all).To(Equal(want))
	}
}

// Guards against text that isn't JSON taken for a shorter list.
func TestRefusesWhatEndsEarly(t *testing.T) {
	for _, data := range []string{``, `7`, `{`, `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{"a" 1}`, `{1:2}`, `{"a":}`, `{"a":1}x`,
		`[`, `[1`, `[1,`, `[1 2]`, `[,]`, `["a`, `["a\`, `[{]`, `[1]]`} {
		_, err := list(data)
		NewWithT(t).Expect(err).To(HaveOccurred(), data)
	}
}

// FuzzSplit guards against input that ends the process, and against values of valid JSON
// that aren't those that encoding/json returns.
func FuzzSplit(f *testing.F) {
	for _, data := range []string{`{"a":[1,{"b":"\"}"}],"c":null}`, `[1,"x",[],{}]`, `{"a":`, `[{]`} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		var elements []json.RawMessage
		var split []string
		err := rawjson.Elements(data, func(element []byte) error {
			split = append(split, string(element))
			return nil
		})
		if json.Unmarshal(data, &elements) == nil {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(split).To(HaveLen(len(elements)))
			for i := range elements {
				g.Expect(split[i]).To(Equal(string(elements[i])))
			}
		}
		fields := map[string]json.RawMessage{}
		splitFields := map[string]string{}
		err = rawjson.Fields(data, func(name string, value []byte) error {
			splitFields[name] = string(value)
			return nil
		})
		if json.Unmarshal(data, &fields) == nil && fields != nil && strings.TrimSpace(string(data)) != "null" {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(splitFields).To(HaveLen(len(fields)))
			for name, value := range fields {
				g.Expect(splitFields[name]).To(Equal(string(value)))
			}
		}
	})
}
