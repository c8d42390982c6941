// Package explain traces one request through the logs of several nodes. The trace
// includes log lines about the groups and instances to which the request was sent.
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
	// contextWindow is the time before the first and after the last line of a request
	// within which lines about its groups and instances may show the cause of a failure.
	contextWindow = 5 * time.Second
	// maxLineBytes is the maximum length of a line.
	maxLineBytes = 1 << 20
)

// ErrUnknownRequest means that no log line contains the request ID.
var ErrUnknownRequest = errors.New("no log line names the request")

// Field is a key of a log line with its value.
type Field struct{ Key, Value string }

// Line is one log line.
type Line struct {
	Time   time.Time
	Node   string
	Fields []Field
}

// Get returns the value of a field, or an empty string.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Read parses a log in logfmt. Text before the timestamp of a line is skipped, and so
// are lines without a valid timestamp.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.Index(scanner.Bytes(), []byte("ts="))
		if start < 0 {
			continue
		}
		if line, ok := parseLine(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parseLine parses a line that starts with the timestamp. It returns false if the line
// is invalid.
func parseLine(text []byte) (Line, bool) {
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
			line.Time = at
		case "node":
			line.Node = value
		default:
			line.Fields = append(line.Fields, Field{key, value})
		}
	}
	return line, decoder.Err() == nil && !line.Time.IsZero()
}

// Trace returns the lines of a request, and the lines within contextWindow of them
// about the groups and instances to which it was sent, in order of time. Lines of other
// requests are left out.
func Trace(lines []Line, id string) ([]Line, error) {
	var trace []Line
	related := map[string]bool{}
	for _, l := range lines {
		if l.Get("request") != id {
			continue
		}
		trace = append(trace, l)
		for _, key := range []string{"instance", "group"} {
			if value := l.Get(key); value != "" {
				related[value] = true
			}
		}
	}
	if len(trace) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknownRequest, id)
	}
	sortByTime(trace)
	from, to := trace[0].Time.Add(-contextWindow), trace[len(trace)-1].Time.Add(contextWindow)
	for _, l := range lines {
		isRelated := related[l.Get("instance")] || related[l.Get("group")]
		if isRelated && l.Get("request") == "" && l.Time.After(from) && l.Time.Before(to) {
			trace = append(trace, l)
		}
	}
	sortByTime(trace)
	return trace, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// Write prints lines with their time relative to the first line of the request. Lines
// that don't contain the request ID are indented.
func Write(w io.Writer, lines []Line, id string) error {
	var start time.Time
	for _, l := range lines {
		if l.Get("request") == id {
			start = l.Time
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
		_, err := fmt.Fprintf(w, "%+8d ms  %-20s %s%s  %s\n", l.Time.Sub(start).Milliseconds(), l.Node, indent,
			l.Get("msg"), strings.Join(fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}
