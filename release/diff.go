package release

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/strictjson"
)

// Change describes what a note changes in one entry.
type Change struct {
	// Entry is "services/<name>", "organisations/<name>" or "groups/<name>".
	Entry     string        `json:"entry"`
	Operation Operation     `json:"operation"`
	Fields    []FieldChange `json:"fields,omitempty"`
}

// FieldChange describes the old and new value of a field, as text.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns the change as one line of text.
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

// Diff returns the changes that note would make to current, without validating the note.
// The Change of an entry whose values stay the same has no fields.
func Diff(current fleet.Configuration, note Note) []Change {
	changes := make([]Change, 0)
	for _, ref := range note.entryRefs() {
		_, name := splitEntry(ref.entry)
		change := Change{Entry: ref.entry, Operation: ref.op}
		if ref.op != OperationWithdraw {
			change.Fields = diffFields(findEntry(&current, ref.entry), noteEntry(&note, ref.entry, name))
		}
		changes = append(changes, change)
	}
	return changes
}

// findEntry returns an entry of c, or the zero value of its type if c lacks it.
func findEntry(c *fleet.Configuration, entry string) reflect.Value {
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

// deref returns the value that entry points to, or the zero value if it is nil.
func deref[T any](entry *T) reflect.Value {
	if entry == nil {
		entry = new(T)
	}
	return reflect.ValueOf(*entry)
}

// noteEntry returns an entry that the note adds or changes, or the zero value of its
// type.
func noteEntry(note *Note, entry, name string) reflect.Value {
	for _, part := range []*Entries{&note.Added, &note.Changed} {
		c := fleet.Configuration{Services: part.Services, Organisations: part.Organisations, Groups: part.Groups}
		if value := findEntry(&c, entry); value.FieldByName("Name").String() == name {
			return value
		}
	}
	return findEntry(&fleet.Configuration{}, entry)
}

// diffFields returns the fields that differ between two entries of the same type, except
// the name and the revision of the last change.
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

// fieldText returns the value of a field as text.
func fieldText(value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		return fmt.Sprintf("%q", value.Interface())
	}
	return fmt.Sprintf("%v", value.Interface())
}
