// Package untrusted decodes short MessagePack messages of other processes.
package untrusted

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBytes is the largest size of a message in bytes. It also bounds the depth to which
// values are nested.
const MaxBytes = 64 << 10

// Unmarshal decodes a message. It is skipped through first, because the library allocates
// the lists of structs at the length that a message declares, however short it is.
func Unmarshal(data []byte, target any) error {
	if len(data) > MaxBytes {
		return fmt.Errorf("message has %d bytes, at most %d are allowed", len(data), MaxBytes)
	}
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, target)
}
