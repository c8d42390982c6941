package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxProblems limits the number of problems that an error lists.
const maxProblems = 20

// Problems collects the invalid fields of one input.
type Problems struct {
	// Reason is the reason of the resulting error; empty means bad-request.
	Reason verdict.Reason
	list   []problem
	// omitted is the number of problems beyond maxProblems.
	omitted int
}

// problem is one invalid field.
type problem struct {
	// field is the field's path; empty means the whole input.
	field   string
	message string
}

// Add adds a problem of a field.
func (p *Problems) Add(field, format string, args ...any) {
	if len(p.list) >= maxProblems {
		p.omitted++
		return
	}
	p.list = append(p.list, problem{field, fmt.Sprintf(format, args...)})
}

// Empty reports whether there are no problems.
func (p *Problems) Empty() bool { return len(p.list) == 0 }

// Err returns nil if there are no problems. Otherwise it returns a *verdict.Error with
// the verdict NotRun, whose field is that of the first problem and whose message lists
// all of them, up to maxProblems.
func (p *Problems) Err() error {
	if p.Empty() {
		return nil
	}
	reason := p.Reason
	if reason == "" {
		reason = verdict.ReasonBadRequest
	}
	first := p.list[0]
	e := verdict.New(verdict.NotRun, reason, "%s", first.message)
	e.Field = first.field
	if len(p.list) > 1 {
		e.Message = p.joined()
	}
	return e
}

// joined returns all problems in one line.
func (p *Problems) joined() string {
	parts := make([]string, 0, len(p.list)+1)
	for i, entry := range p.list {
		part := entry.message
		if i > 0 && entry.field != "" {
			part = entry.field + ": " + part
		}
		parts = append(parts, part)
	}
	if p.omitted > 0 {
		parts = append(parts, fmt.Sprintf("and %d more problems", p.omitted))
	}
	return strings.Join(parts, "; ")
}

var durationType = reflect.TypeFor[time.Duration]()

// Decode decodes data into target, a pointer to a struct of plain data. Fields that data
// omits keep their values. A time.Duration is written as a string such as "2.5s". Every
// invalid field is added to problems.
func Decode(data []byte, target any, problems *Problems) {
	var value json.RawMessage
	if err := json.Unmarshal(data, &value); err != nil {
		problems.Add("", "not a single JSON value: %v", err)
		return
	}
	decodeValue("", data, reflect.ValueOf(target).Elem(), problems)
}

// decodeValue decodes the value at path.
func decodeValue(path string, data []byte, target reflect.Value, problems *Problems) {
	data = bytes.TrimSpace(data)
	switch {
	case bytes.Equal(data, []byte("null")):
		problems.Add(path, "must not be null")
	case target.Type() == durationType:
		decodeDuration(path, data, target, problems)
	case target.Kind() == reflect.Struct:
		decodeStruct(path, data, target, problems)
	case target.Kind() == reflect.Slice:
		decodeSlice(path, data, target, problems)
	default:
		if err := json.Unmarshal(data, target.Addr().Interface()); err != nil {
			problems.Add(path, "must be a JSON value of type %s", target.Kind())
		}
	}
}

func decodeDuration(path string, data []byte, target reflect.Value, problems *Problems) {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		problems.Add(path, `must be a duration in a string, such as "2.5s"`)
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		problems.Add(path, `must be a duration such as "2.5s"`)
		return
	}
	target.SetInt(int64(d))
}

func decodeSlice(path string, data []byte, target reflect.Value, problems *Problems) {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		problems.Add(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		decodeValue(fmt.Sprintf("%s[%d]", path, i), item, list.Index(i), problems)
	}
	target.Set(list)
}

// decodeStruct iterates over the members itself because encoding/json accepts repeated
// names and names in another case.
func decodeStruct(path string, data []byte, target reflect.Value, problems *Problems) {
	if len(data) == 0 || data[0] != '{' {
		problems.Add(path, "must be an object")
		return
	}
	seen := make(map[string]bool)
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		problems.Add(path, "must be an object")
		return
	}
	for decoder.More() {
		token, err := decoder.Token()
		var raw json.RawMessage
		if err == nil {
			err = decoder.Decode(&raw)
		}
		name, isString := token.(string)
		if err != nil || !isString {
			problems.Add(path, "must be an object")
			return
		}
		decodeMember(joinPath(path, name), name, raw, target, seen, problems)
	}
}

func decodeMember(path, name string, raw []byte, target reflect.Value, seen map[string]bool, problems *Problems) {
	field, known := fieldByName(target, name)
	switch {
	case !known:
		problems.Add(path, "unknown field")
	case seen[name]:
		problems.Add(path, "field stands twice")
	default:
		decodeValue(path, raw, field, problems)
	}
	seen[name] = true
}

// fieldByName returns the field whose JSON name is exactly name.
func fieldByName(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if FieldName(target.Type().Field(i)) == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// FieldName returns the JSON name of a struct field.
func FieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// joinPath appends a field name to a path. It truncates names longer than 64 bytes.
func joinPath(path, name string) string {
	if len(name) > 64 {
		name = name[:64] + "..."
	}
	if path == "" {
		return name
	}
	return path + "." + name
}
