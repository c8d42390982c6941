// Package rawjson splits a JSON object or array into its raw values without decoding them.
// A value that encoding/json refuses, such as one that is nested too deeply, doesn't keep
// its neighbours from being decoded. The values are delimited but not validated.
package rawjson

import (
	"encoding/json"
	"errors"
	"fmt"
)

// errUnexpectedEnd means that the text ends inside a value.
var errUnexpectedEnd = errors.New("unexpected end of JSON")

// Fields calls yield for each field of an object, in order, until it returns an error. A
// value is a part of data.
func Fields(data []byte, yield func(name string, value []byte) error) error {
	return split(data, '{', '}', func(rest []byte) ([]byte, error) {
		end, err := valueEnd(rest)
		if err != nil {
			return nil, err
		}
		var name string
		if err := json.Unmarshal(rest[:end], &name); err != nil {
			return nil, fmt.Errorf("name of a field: %w", err)
		}
		if rest = skipSpace(rest[end:]); len(rest) == 0 || rest[0] != ':' {
			return nil, errors.New("no colon after the name of a field")
		}
		rest = skipSpace(rest[1:])
		if end, err = valueEnd(rest); err != nil {
			return nil, err
		}
		return rest[end:], yield(name, rest[:end])
	})
}

// Elements calls yield for each element of an array, in order, until it returns an error.
// An element is a part of data. Null has no elements.
func Elements(data []byte, yield func(element []byte) error) error {
	if string(skipSpace(data)) == "null" {
		return nil
	}
	return split(data, '[', ']', func(rest []byte) ([]byte, error) {
		end, err := valueEnd(rest)
		if err != nil {
			return nil, err
		}
		return rest[end:], yield(rest[:end])
	})
}

// split calls next at the start of each item of an object or array. It returns what follows
// the item.
func split(data []byte, begin, end byte, next func(rest []byte) ([]byte, error)) error {
	rest := skipSpace(data)
	if len(rest) == 0 || rest[0] != begin {
		return fmt.Errorf("JSON doesn't begin with %q", begin)
	}
	rest = skipSpace(rest[1:])
	if len(rest) > 0 && rest[0] == end {
		return checkEnd(rest[1:])
	}
	for {
		var err error
		if rest, err = next(rest); err != nil {
			return err
		}
		rest = skipSpace(rest)
		switch {
		case len(rest) == 0:
			return errUnexpectedEnd
		case rest[0] == end:
			return checkEnd(rest[1:])
		case rest[0] != ',':
			return fmt.Errorf("unexpected character %q between JSON values", rest[0])
		}
		rest = skipSpace(rest[1:])
	}
}

// checkEnd returns an error unless only space follows.
func checkEnd(rest []byte) error {
	if rest = skipSpace(rest); len(rest) > 0 {
		return fmt.Errorf("unexpected character %q after the JSON value", rest[0])
	}
	return nil
}

// valueEnd returns the length of the value at the start of data.
func valueEnd(data []byte) (int, error) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			end, err := stringEnd(data, i)
			if err != nil {
				return 0, err
			}
			if depth == 0 {
				return end, nil
			}
			i = end - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth <= 0 {
				return closedEnd(i, depth)
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return scalarEnd(i)
			}
		}
	}
	if depth > 0 {
		return 0, errUnexpectedEnd
	}
	return scalarEnd(len(data))
}

// closedEnd returns the length of a value before or with the bracket at i.
func closedEnd(i, depth int) (int, error) {
	if depth < 0 {
		return scalarEnd(i)
	}
	return i + 1, nil
}

// scalarEnd returns the length of a number or literal that ends before i.
func scalarEnd(i int) (int, error) {
	if i == 0 {
		return 0, errors.New("JSON value missing")
	}
	return i, nil
}

// stringEnd returns the index after the string that begins at start.
func stringEnd(data []byte, start int) (int, error) {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1, nil
		}
	}
	return 0, errUnexpectedEnd
}

func skipSpace(data []byte) []byte {
	for len(data) > 0 && (data[0] == ' ' || data[0] == '\t' || data[0] == '\r' || data[0] == '\n') {
		data = data[1:]
	}
	return data
}
