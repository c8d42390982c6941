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

// maxProblems bounds the number of problems that one decode or check lists.
const maxProblems = 20

// Problems collects the refused fields of one input.
type Problems struct {
	// Reason is the reason of the resulting error; empty means bad-request.
	Reason verdict.Reason
	list   []problem
	more   int
}

// problem is one refused field.
type problem struct {
	field   string
	message string
}

// Add records that field was refused.
func (p *Problems) Add(field, format string, args ...any) {
	if len(p.list) >= maxProblems {
		p.more++
		return
	}
	p.list = append(p.list, problem{field, fmt.Sprintf(format, args...)})
}

// Empty reports whether nothing was refused.
func (p *Problems) Empty() bool { return len(p.list) == 0 }

// Err returns nil when nothing was refused, else a NotRun *verdict.Error that
// names the first field and lists every problem.
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
		e.Message = p.text()
	}
	return e
}

// text lists all problems in one line.
func (p *Problems) text() string {
	parts := make([]string, 0, len(p.list)+1)
	for i, one := range p.list {
		part := one.message
		if i > 0 && one.field != "" {
			part = one.field + ": " + part
		}
		parts = append(parts, part)
	}
	if p.more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more problems", p.more))
	}
	return strings.Join(parts, "; ")
}

var durationType = reflect.TypeFor[time.Duration]()

// Decode reads data into target, a pointer to a struct of plain data. Fields
// that data leaves out keep their value. A time.Duration is written as a string
// such as "2.5s". Every refused field is added to problems.
func Decode(data []byte, target any, problems *Problems) {
	var probe json.RawMessage
	if err := json.Unmarshal(data, &probe); err != nil {
		problems.Add("", "not a single JSON value: %v", err)
		return
	}
	decodeValue("", data, reflect.ValueOf(target).Elem(), problems)
}

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

// decodeStruct walks the members itself because encoding/json accepts repeated
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
		name, isText := token.(string)
		if err != nil || !isText {
			problems.Add(path, "must be an object")
			return
		}
		decodeMember(join(path, name), name, raw, target, seen, problems)
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

func join(path, name string) string {
	if len(name) > 64 {
		name = name[:64] + "..."
	}
	if path == "" {
		return name
	}
	return path + "." + name
}
