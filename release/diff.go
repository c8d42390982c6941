package release

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/strictjson"
)

// Change is what a note does to one entry.
type Change struct {
	// Entry is "services/<name>", "organisations/<name>" or "groups/<name>".
	Entry     string        `json:"entry"`
	Operation Operation     `json:"operation"`
	Fields    []FieldChange `json:"fields,omitempty"`
}

// FieldChange is the old and new value of a field, as text.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	parts := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		if c.Operation == OperationAdd {
			parts = append(parts, fmt.Sprintf("%s %s", f.Field, f.New))
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Field, f.Old, f.New))
	}
	return strings.TrimSpace(fmt.Sprintf("%-9s %s  %s", c.Operation, c.Entry, strings.Join(parts, ", ")))
}

// Diff lists what note would change in current, without checking the note. An
// entry that is changed into itself has no fields.
func Diff(current fleet.Configuration, note Note) []Change {
	changes := make([]Change, 0)
	for _, t := range note.entries() {
		_, name := splitEntry(t.entry)
		change := Change{Entry: t.entry, Operation: t.op}
		if t.op != OperationWithdraw {
			change.Fields = diffFields(currentEntry(&current, t.entry), noteEntry(&note, t.entry, name))
		}
		changes = append(changes, change)
	}
	return changes
}

// currentEntry returns the entry in c, or its zero value.
func currentEntry(c *fleet.Configuration, entry string) reflect.Value {
	kind, name := splitEntry(entry)
	switch kind {
	case kindServices:
		return deref(c.Service(name))
	case kindOrganisations:
		return deref(c.Organisation(name))
	default:
		return deref(c.Group(name))
	}
}

func deref[T any](entry *T) reflect.Value {
	if entry == nil {
		entry = new(T)
	}
	return reflect.ValueOf(*entry)
}

// noteEntry returns the entry in the note's added and changed parts.
func noteEntry(note *Note, entry, name string) reflect.Value {
	for _, part := range []*Entries{&note.Added, &note.Changed} {
		c := fleet.Configuration{Services: part.Services, Organisations: part.Organisations, Groups: part.Groups}
		if value := currentEntry(&c, entry); value.FieldByName("Name").String() == name {
			return value
		}
	}
	return currentEntry(&fleet.Configuration{}, entry)
}

func diffFields(old, updated reflect.Value) []FieldChange {
	var fields []FieldChange
	for i := range old.NumField() {
		name := strictjson.FieldName(old.Type().Field(i))
		if name == "name" || name == "changed" {
			continue
		}
		before, after := fieldText(old.Field(i)), fieldText(updated.Field(i))
		if before != after {
			fields = append(fields, FieldChange{Field: name, Old: before, New: after})
		}
	}
	return fields
}

func fieldText(value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		return fmt.Sprintf("%q", value.Interface())
	}
	return fmt.Sprintf("%v", value.Interface())
}
