package entry

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/catalog"
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
			{Key: object.Key{Name: "sound"}, Version: 1, Value: []byte(`{"service":"llm","zone":"z","state":"ready","address":"10.0.0.1:1","version":"v1","slots":6,"coldRemainingMs":0,"sequence":1}`)},
		}})
		g.Expect(instances).To(HaveLen(1))
		g.Expect(instances[0].ID).To(Equal("sound"))
	}
	g.Expect(strings.Count(lines.String(), "\n")).To(Equal(2))
	g.Expect(lines.String()).To(And(ContainSubstring("instance odd: state"), ContainSubstring("version")))
	g.Expect(lines.Len()).To(BeNumerically("<", 1000))
}

// Guards against decisions that follow from entries of another writer: random ones with fields
// missing, doubled or of another type, also under the names of sound ones.
func TestInvalidEntriesChangeNoOther(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	configuration := (&catalog.Configuration{Services: []catalog.Service{{Name: "desk"}, {Name: "llm", Engine: &catalog.EngineProfile{}}}}).Index()
	newState := func() *PlatformState {
		ps := &PlatformState{logger: log.NewNopLogger()}
		ps.Configuration.Publish(configuration)
		return ps
	}
	sound := func(i int) map[string]string {
		fields := map[string]string{"service": `"desk"`, "address": fmt.Sprintf(`"10.0.0.%d:80"`, i), "zone": `"z"`, "version": `"v1"`, "slots": "6",
			"state": `"ready"`, "coldRemainingMs": "0", "sequence": "1", "born": "7"}
		if i%2 == 0 {
			fields["service"], fields["models"], fields["staged"], fields["domain"] = `"llm"`, `[{"name":"m"}]`, `["m"]`, `"d"`
			fields["group"] = fmt.Sprintf(`{"name":"g","epoch":3,"rank":%d,"state":"ready"}`, i)
		}
		return fields
	}
	encode := func(fields map[string]string, twice string) []byte {
		var list []string
		for _, name := range slices.Sorted(maps.Keys(fields)) {
			list = append(list, fmt.Sprintf("%q:%s", name, fields[name]))
		}
		if twice != "" {
			list = append(list, fmt.Sprintf("%q:%s", twice, fields[twice]))
		}
		return []byte("{" + strings.Join(list, ",") + "}")
	}
	required := []string{"service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence"}
	for range 500 {
		var with, without []object.Object
		for i := range 12 {
			fields, twice, name := sound(i), "", fmt.Sprint("i-", i)
			if i >= 8 || random.IntN(4) == 0 {
				checked := required
				if i%2 == 0 {
					checked = append(slices.Clone(required), "models")
				}
				for range 1 + random.IntN(3) {
					field := checked[random.IntN(len(checked))]
					switch random.IntN(4) {
					case 0:
						delete(fields, field)
					case 1:
						fields[field] = "null"
					case 2:
						fields[field] = `{"a":[1]}`
					case 3:
						if _, found := fields[field]; found {
							twice = field
						} else {
							delete(fields, field)
						}
					}
				}
				with = append(with, object.Object{Key: object.Key{Name: name}, Version: 1, Value: encode(fields, twice)})
				continue
			}
			o := object.Object{Key: object.Key{Name: name}, Version: 1, Value: encode(fields, "")}
			with, without = append(with, o), append(without, o)
		}
		g.Expect(newState().decode(&follow.Snapshot{Objects: with})).To(Equal(newState().decode(&follow.Snapshot{Objects: without})))
	}
}
