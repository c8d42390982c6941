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

// row is a line of the page's table of settings.
type row struct{ unit, fallback, allowed string }

var durationType = reflect.TypeFor[time.Duration]()

// collect fills found with the type and default of each setting below v. The
// elements of a list of structs are named "list[].field".
func collect(found map[string]reflect.Value, path string, v reflect.Value) {
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
		collect(found, path+"[]", reflect.Zero(v.Type().Elem()))
		return
	}
	if v.Kind() != reflect.Struct {
		found[path] = v
		return
	}
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("json")
		collect(found, strings.TrimPrefix(path+"."+name, "."), v.Field(i))
	}
}

// unit returns the unit that the page must give for a setting.
func unit(path string, v reflect.Value) string {
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

// invalid returns values that no setting of the type accepts.
func invalid(v reflect.Value) []any {
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

// allowed returns what the refusals of invalid values demand.
func allowed(path string, v reflect.Value) string {
	var demands []string
	for _, value := range invalid(v) {
		var file map[string]any
		Expect(json.Unmarshal([]byte(valid), &file)).To(Succeed())
		at, parts := file, strings.Split(path, ".")
		for _, part := range parts[:len(parts)-1] {
			if list, isList := strings.CutSuffix(part, "[]"); isList {
				at = at[list].([]any)[0].(map[string]any)
				continue
			}
			if at[part] == nil {
				at[part] = map[string]any{}
			}
			at = at[part].(map[string]any)
		}
		at[parts[len(parts)-1]] = value
		data, err := json.Marshal(file)
		Expect(err).NotTo(HaveOccurred())
		if _, err := settings.Parse(data); err != nil {
			e := verdict.Of(err)
			Expect(e.Field).To(HavePrefix(strings.ReplaceAll(path, "[]", "[0]")))
			first, _, _ := strings.Cut(e.Message, "; ")
			demands = append(demands, strings.TrimPrefix(first, "must "))
		}
	}
	return strings.Join(demands, "; ")
}

// fallback returns the default that the page must give.
func fallback(path string, v reflect.Value) string {
	switch {
	case path == "peerAdvertiseAddress":
		return "as peerAddress"
	case v.Type() != durationType && v.IsZero():
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

// pageRows reads the table below the heading "Settings".
func pageRows() map[string]row {
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	Expect(err).NotTo(HaveOccurred())
	_, section, found := strings.Cut(string(page), "\n## Settings\n")
	Expect(found).To(BeTrue())
	section, _, _ = strings.Cut(section, "\n## ")
	rows := map[string]row{}
	for line := range strings.Lines(section) {
		cells := strings.Split(strings.Trim(line, "|\n "), " | ")
		if !strings.HasPrefix(line, "| `") || len(cells) != 5 {
			continue
		}
		name := strings.Trim(cells[0], "` ")
		Expect(rows).NotTo(HaveKey(name))
		rows[name] = row{cells[1], strings.Trim(cells[2], "`"), strings.Trim(cells[3], "`")}
	}
	return rows
}

var _ = It("agrees with the table of the operations page", func() {
	// Guards against a page that misses a setting or gives an old default, unit
	// or range, which an operator would copy into a settings file.
	found := map[string]reflect.Value{}
	collect(found, "", reflect.ValueOf(settings.Default()))
	rows := pageRows()
	Expect(slices.Sorted(maps.Keys(rows))).To(Equal(slices.Sorted(maps.Keys(found))))
	for path, v := range found {
		Expect(rows[path]).To(Equal(row{unit(path, v), fallback(path, v), allowed(path, v)}), path)
	}
})
