package entry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
)

// Guards against an odd entry of another writer that costs its neighbours, and against a
// log line at each change of the entry or of the list.
func TestOddEntriesCostOnlyThemselvesAndOneLogLine(t *testing.T) {
	g := NewWithT(t)
	lines := &bytes.Buffer{}
	f := follow.New(follow.Config{}, nil, log.NewNopLogger())
	ps := &PlatformState{configurations: f, logger: log.NewLogfmtLogger(lines)}
	for i := range object.Version(100) {
		f.Replace(follow.Snapshot{Cursor: i, Objects: []object.Object{{Key: object.Key{Name: platform.ConfigurationName}, Version: 1, Value: []byte(`{"version":-1}`)}}})
		ps.updateConfiguration()
		instances := ps.decode(&follow.Snapshot{Objects: []object.Object{
			{Key: object.Key{Name: "odd"}, Version: i, Value: []byte(`{"service":"llm","state":"` + strings.Repeat("s", 1<<10) + `"}`)},
			{Key: object.Key{Name: "sound"}, Version: 1, Value: []byte(`{"service":"llm","zone":"z","state":"ready","address":"10.0.0.1:1"}`)},
		}})
		g.Expect(instances).To(HaveLen(1))
		g.Expect(instances[0].ID).To(Equal("sound"))
	}
	g.Expect(strings.Count(lines.String(), "\n")).To(Equal(2))
	g.Expect(lines.String()).To(And(ContainSubstring("instance odd: state"), ContainSubstring("version")))
	g.Expect(lines.Len()).To(BeNumerically("<", 1000))
}
