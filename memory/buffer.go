package memory

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstSize is the size in bytes of the first part of a buffer, and blockSize that of
	// the others.
	firstSize = 2 << 10
	blockSize = 16 << 10
	// FreeSize is the number of bytes of a buffer that are counted with the request, so that
	// what is small neither waits nor is refused.
	FreeSize = firstSize + blockSize
)

// ErrTooLarge means that a source has more bytes than its reader accepts.
var ErrTooLarge = errors.New("more bytes than accepted")

type block = [blockSize]byte

var blocks = sync.Pool{New: func() any { return new(block) }}

// Buffer holds bytes in blocks, because a growing slice would leave about as much garbage as
// it holds.
type Buffer struct {
	hold   *Hold
	first  []byte
	blocks []*block
	length int
	// users counts those who read the buffer besides its owner.
	users atomic.Int32
}

// NewBuffer returns an empty buffer that takes its memory from a hold.
func NewBuffer(hold *Hold) *Buffer {
	b := &Buffer{hold: hold}
	b.users.Store(1)
	return b
}

// Hold returns the memory of the buffer.
func (b *Buffer) Hold() *Hold { return b.hold }

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.length }

// Fill reads the source to its end. It returns ErrTooLarge if there are more than limit bytes.
// The function patience returns how long to wait for memory.
func (b *Buffer) Fill(source io.Reader, limit int64, patience func() time.Duration) error {
	for {
		free, err := b.free(patience)
		if err != nil {
			return err
		}
		n, err := source.Read(free)
		b.length += n
		switch {
		case int64(b.length) > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// free returns the unused bytes of the last part, or those of a new one.
func (b *Buffer) free(patience func() time.Duration) ([]byte, error) {
	if b.first == nil {
		b.first = make([]byte, firstSize)
	}
	if b.length < firstSize {
		return b.first[b.length:], nil
	}
	offset := b.length - firstSize
	if offset == len(b.blocks)*blockSize {
		if len(b.blocks) > 0 {
			if err := b.hold.Acquire(blockSize, patience()); err != nil {
				return nil, err
			}
		}
		b.blocks = append(b.blocks, blocks.Get().(*block))
	}
	return b.blocks[len(b.blocks)-1][offset%blockSize:], nil
}

// Parts returns the bytes in order. They must not be used after Release.
func (b *Buffer) Parts() [][]byte {
	if b == nil || b.length == 0 {
		return nil
	}
	parts := append(make([][]byte, 0, 1+len(b.blocks)), b.first[:min(firstSize, b.length)])
	for rest := b.length - firstSize; rest > 0; rest -= blockSize {
		parts = append(parts, b.blocks[len(parts)-1][:min(blockSize, rest)])
	}
	return parts
}

// Write writes the buffer to w and records the progress.
func (b *Buffer) Write(w io.Writer) error {
	for _, part := range b.Parts() {
		if _, err := w.Write(part); err != nil {
			return err
		}
		b.hold.Advance()
	}
	return nil
}

// Join returns the bytes in one slice, which is counted until Release. The blocks are freed.
func (b *Buffer) Join(patience time.Duration) ([]byte, error) {
	if b.length <= firstSize {
		return b.first[:b.length], nil
	}
	if extra := int64(b.length - FreeSize); extra > 0 {
		if err := b.hold.Acquire(extra, patience); err != nil {
			return nil, err
		}
	}
	joined := make([]byte, 0, b.length)
	for _, part := range b.Parts() {
		joined = append(joined, part...)
	}
	b.recycle()
	b.hold.Shrink(int64(max(b.length-FreeSize, 0)))
	b.first, b.length = nil, 0
	return joined, nil
}

// Retain keeps the buffer until the returned function was called.
func (b *Buffer) Retain() (release func()) {
	b.users.Add(1)
	return sync.OnceFunc(b.Release)
}

// Release frees the memory once all who retained it have released it.
func (b *Buffer) Release() {
	if b.users.Add(-1) > 0 {
		return
	}
	b.recycle()
	b.hold.Release()
}

func (b *Buffer) recycle() {
	for _, part := range b.blocks {
		blocks.Put(part)
	}
	b.blocks = nil
}
