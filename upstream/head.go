package upstream

import (
	"errors"
	"fmt"
	"time"
)

const (
	// maxHead is the largest size in bytes of the head of a response. Servers accept heads
	// of 8 to 64 KiB by default.
	maxHead = 64 << 10
	// maxHeadLines is the largest number of lines of a head. A parsed line takes some hundred
	// bytes, however short it is.
	maxHeadLines = 256
	// freeHead is the size in bytes up to which a head needs no reserved memory.
	freeHead = 4 << 10
	// headMemoryFactor is the memory for a parsed head, in multiples of its size.
	headMemoryFactor = 2
)

var (
	// errHeadTooLarge is returned if the head of a response exceeds maxHead.
	errHeadTooLarge = fmt.Errorf("head of the response exceeds %d bytes", maxHead)
	// errTooManyLines is returned if it exceeds maxHeadLines.
	errTooManyLines = fmt.Errorf("head of the response exceeds %d lines", maxHeadLines)
	// ErrNoMemory is returned if what is large in all responses takes too much memory. The
	// server may be sound.
	ErrNoMemory = errors.New("no memory for large heads and events")
)

// Memory is the memory for what servers may send in excess of usual sizes.
// semaphore.Weighted implements it.
type Memory interface {
	// TryAcquire reserves a number of bytes, or returns false if there are too few.
	TryAcquire(bytes int64) bool
	Release(bytes int64)
}

// headLimit bounds the head of a response while it is read, and the memory for it until the
// response has ended.
type headLimit struct {
	memory Memory
	// size is the number of bytes read of the head, and reserved the bytes of memory.
	size     int
	reserved int64
	// lines is the number of complete lines and lineLength the length of the next one.
	lines, lineLength int
	ended             bool
	rate              rate
	// failed is the error by which the head has exceeded a limit; nil if it hasn't. The parser
	// may return another one for what it got.
	failed error
}

// start begins the head of a response; there may be several to a request.
func (l *headLimit) start() {
	l.size, l.lines, l.lineLength, l.ended, l.rate, l.failed = 0, 0, 0, false, rate{}, nil
}

// isExceeded reports whether the head has as many bytes as it may have.
func (l *headLimit) isExceeded() bool {
	if l.size >= maxHead {
		l.failed = errHeadTooLarge
	}
	return l.failed != nil
}

// add counts bytes that were read within some time. They may include the beginning of the
// body, which doesn't count.
func (l *headLimit) add(p []byte, wait time.Duration) error {
	l.failed = l.check(p, wait)
	return l.failed
}

func (l *headLimit) check(p []byte, wait time.Duration) error {
	for _, b := range p {
		if l.ended {
			break
		}
		l.size++
		switch {
		case b == '\r':
		case b != '\n':
			l.lineLength++
		case l.lineLength == 0:
			l.ended = true
		default:
			l.lines, l.lineLength = l.lines+1, 0
		}
	}
	if l.lines > maxHeadLines {
		return errTooManyLines
	}
	if needed := int64(headMemoryFactor * l.size); l.memory != nil && l.size > freeHead && needed > l.reserved {
		if !l.memory.TryAcquire(needed - l.reserved) {
			return ErrNoMemory
		}
		l.reserved = needed
	}
	return l.rate.add(len(p), wait)
}

// release frees the memory.
func (l *headLimit) release() {
	if l.reserved > 0 {
		l.memory.Release(l.reserved)
		l.reserved = 0
	}
}
