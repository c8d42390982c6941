// Package readall reads whole bodies of a limited size.
package readall

import (
	"fmt"
	"io"
)

// TooLargeError means that a body has more bytes than its reader takes.
type TooLargeError struct {
	// Limit is the largest accepted size in bytes.
	Limit int64
}

func (e *TooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }

// Limited reads r to its end. A body of more than limit bytes is an error, so that a part
// of it isn't taken for the whole.
func Limited(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	return data, nil
}
