package settings_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/settings"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// settingRow is a row of the table of settings in docs/OPERATIONS.md.
type settingRow struct{ unit, defaultValue, allowed string }

var durationType = reflect.TypeFor[time.Duration]()

// collectSettings adds the default of each setting below v to found, by path. The
// path of a field in a list of structs is "list[].field".
func collectSettings(found map[string]reflect.Value, path string, v reflect.Value) {
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
		collectSettings(found, path+"[]", reflect.Zero(v.Type().Elem()))
		return
	}
	if v.Kind() != reflect.Struct {
		found[path] = v
		return
	}
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("json")
		collectSettings(found, strings.TrimPrefix(path+"."+name, "."), v.Field(i))
	}
}

// expectedUnit returns the unit that the table must give for a setting.
func expectedUnit(path string, v reflect.Value) string {
	switch {
	case v.Type() == durationType:
		return "duration"
	case strings.HasSuffix(path, "Bytes"):
		return "bytes"
	case v.CanInt() || v.CanFloat():
		return "number"
	case v.Kind() == reflect.Slice:
		return "list"
	}
	return "text"
}

// invalidValues returns values that are invalid for any setting of the type.
func invalidValues(v reflect.Value) []any {
	switch {
	case v.Type() == durationType:
		return []any{"1000h"}
	case v.CanInt() || v.CanFloat():
		return []any{-1}
	case v.Kind() == reflect.Slice:
		return []any{[]any{}, make([]string, 1001), []any{"!"}}
	}
	return []any{"!"}
}

// expectedRange returns the rules that the errors for invalid values state.
func expectedRange(path string, v reflect.Value) string {
	var rules []string
	for _, value := range invalidValues(v) {
		var file map[string]any
		Expect(json.Unmarshal([]byte(valid), &file)).To(Succeed())
		object, parts := file, strings.Split(path, ".")
		for _, part := range parts[:len(parts)-1] {
			if list, isList := strings.CutSuffix(part, "[]"); isList {
				object = object[list].([]any)[0].(map[string]any)
				continue
			}
			if object[part] == nil {
				object[part] = map[string]any{}
			}
			object = object[part].(map[string]any)
		}
		object[parts[len(parts)-1]] = value
		data, err := json.Marshal(file)
		Expect(err).NotTo(HaveOccurred())
		if _, err := settings.Parse(data); err != nil {
			e := verdict.Of(err)
			Expect(e.Field).To(HavePrefix(strings.ReplaceAll(path, "[]", "[0]")))
			rule, _, _ := strings.Cut(e.Message, "; ")
			rules = append(rules, strings.TrimPrefix(rule, "must "))
		}
	}
	return strings.Join(rules, "; ")
}

// expectedDefault returns the default that the table must give for a setting.
func expectedDefault(path string, v reflect.Value) string {
	switch {
	case path == "peerAdvertiseAddress":
		return "as peerAddress"
	case v.Type() != durationType && v.IsZero():
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

// documentedSettings returns the rows of the table below the heading "Settings", by
// the path of the setting.
func documentedSettings() map[string]settingRow {
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	Expect(err).NotTo(HaveOccurred())
	_, section, found := strings.Cut(string(page), "\n## Settings\n")
	Expect(found).To(BeTrue())
	section, _, _ = strings.Cut(section, "\n## ")
	rows := map[string]settingRow{}
	for line := range strings.Lines(section) {
		cells := strings.Split(strings.Trim(line, "|\n "), " | ")
		if !strings.HasPrefix(line, "| `") || len(cells) != 5 {
			continue
		}
		name := strings.Trim(cells[0], "` ")
		Expect(rows).NotTo(HaveKey(name))
		rows[name] = settingRow{cells[1], strings.Trim(cells[2], "`"), strings.Trim(cells[3], "`")}
	}
	return rows
}

var _ = It("gives the same settings as the table in docs/OPERATIONS.md", func() {
	// Guards against documentation that omits a setting or gives an outdated default,
	// unit or range, which an operator would copy into a settings file.
	found := map[string]reflect.Value{}
	collectSettings(found, "", reflect.ValueOf(settings.Default()))
	rows := documentedSettings()
	Expect(slices.Sorted(maps.Keys(rows))).To(Equal(slices.Sorted(maps.Keys(found))))
	for path, v := range found {
		Expect(rows[path]).To(Equal(settingRow{expectedUnit(path, v), expectedDefault(path, v), expectedRange(path, v)}), path)
	}
})
