// Package explain finds the way of one request in the logs of several nodes, with
// the lines on the groups and instances that it met.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// around is the time before the first and after the last line of a request in
	// which lines on its groups and instances may tell its cause.
	around = 5 * time.Second
	// maxLine bounds one line in bytes.
	maxLine = 1 << 20
)

// ErrUnknownRequest means that no line names the request.
var ErrUnknownRequest = errors.New("no log line names the request")

// Field is one key with its value.
type Field struct{ Key, Value string }

// Line is one log line.
type Line struct {
	At     time.Time
	Node   string
	Fields []Field
}

// Get returns the value of a field, or an empty text.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Read returns the lines of a log. Text before the time stamp is skipped, as are
// lines without one.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.Index(scanner.Bytes(), []byte("ts="))
		if start < 0 {
			continue
		}
		if line, ok := parse(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text []byte) (Line, bool) {
	var line Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	if !decoder.ScanRecord() {
		return line, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.At = at
		case "node":
			line.Node = value
		default:
			line.Fields = append(line.Fields, Field{key, value})
		}
	}
	return line, decoder.Err() == nil && !line.At.IsZero()
}

// Request returns the lines that name a request, and those on the groups and
// instances it was sent to from shortly before it until shortly after it, by time.
func Request(lines []Line, id string) ([]Line, error) {
	var own []Line
	met := map[string]bool{}
	for _, l := range lines {
		if l.Get("request") != id {
			continue
		}
		own = append(own, l)
		for _, key := range []string{"instance", "group"} {
			if value := l.Get(key); value != "" {
				met[value] = true
			}
		}
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, id)
	}
	sortByTime(own)
	from, to := own[0].At.Add(-around), own[len(own)-1].At.Add(around)
	for _, l := range lines {
		named := met[l.Get("instance")] || met[l.Get("group")]
		if named && l.Get("request") == "" && l.At.After(from) && l.At.Before(to) {
			own = append(own, l)
		}
	}
	sortByTime(own)
	return own, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
}

// Write prints lines with their time from the first line of the request. Lines
// that don't name the request itself are indented.
func Write(w io.Writer, lines []Line, id string) error {
	var start time.Time
	for _, l := range lines {
		if l.Get("request") == id {
			start = l.At
			break
		}
	}
	for _, l := range lines {
		indent := "    "
		if l.Get("request") == id {
			indent = ""
		}
		var fields []string
		for _, f := range l.Fields {
			if f.Key != "msg" && f.Key != "level" && f.Key != "component" && f.Key != "request" && f.Value != "" {
				fields = append(fields, f.Key+"="+f.Value)
			}
		}
		_, err := fmt.Fprintf(w, "%+8d ms  %-20s %s%s  %s\n", l.At.Sub(start).Milliseconds(), l.Node, indent,
			l.Get("msg"), strings.Join(fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}
