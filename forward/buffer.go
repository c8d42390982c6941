package forward

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	// maxBuffered is the largest length in bytes of a response that is buffered until it
	// is complete, so that an incomplete one can be retried or reported.
	maxBuffered = 8 << 20
	// defaultBufferedBytes bounds the total size in bytes of the responses that are
	// buffered at a time: two of the longest.
	defaultBufferedBytes = 2 * maxBuffered
	// oversizedDivisor divides that size; the quotient bounds the memory for large heads and
	// events.
	oversizedDivisor = 2
	// blockSize is the unit of allocation in bytes. Usual responses are shorter.
	blockSize = 16 << 10
)

var (
	errResponseTooLarge = fmt.Errorf("response has more than %d bytes", maxBuffered)
	errBuffersFull      = errors.New("buffered responses use all of the memory for responses")
)

// block is a part of a buffered response.
type block = [blockSize]byte

var blocks = sync.Pool{New: func() any { return new(block) }}

// bufferLimit bounds the memory for the responses that a node buffers, so that servers
// that send endless responses can't exhaust it.
type bufferLimit struct{ free *semaphore.Weighted }

func newBufferLimit(size int64) *bufferLimit {
	return &bufferLimit{semaphore.NewWeighted(cmp.Or(size, defaultBufferedBytes))}
}

// readAll reads a body to its end. The caller must release it.
func (l *bufferLimit) readAll(source io.Reader) (*bufferedBody, error) {
	body := &bufferedBody{limit: l}
	err := body.fill(source)
	if err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// bufferedBody is a body that was read to its end. It is stored in blocks, because a
// growing buffer would leave about as much garbage as it holds.
type bufferedBody struct {
	limit  *bufferLimit
	blocks []*block
	length int
}

// fill reads the source to its end, or until a limit is exceeded.
func (b *bufferedBody) fill(source io.Reader) error {
	for b.length <= maxBuffered {
		if b.length == len(b.blocks)*blockSize {
			if !b.limit.free.TryAcquire(blockSize) {
				return errBuffersFull
			}
			b.blocks = append(b.blocks, blocks.Get().(*block))
		}
		n, err := source.Read(b.blocks[len(b.blocks)-1][b.length%blockSize:])
		b.length += n
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return errResponseTooLarge
}

// writeTo writes the body to w.
func (b *bufferedBody) writeTo(w io.Writer) error {
	for i, part := range b.blocks {
		if _, err := w.Write(part[:min(blockSize, b.length-i*blockSize)]); err != nil {
			return err
		}
	}
	return nil
}

// release frees the memory of the body, which must not be used afterwards.
func (b *bufferedBody) release() {
	for _, part := range b.blocks {
		blocks.Put(part)
	}
	b.limit.free.Release(int64(len(b.blocks)) * blockSize)
	b.blocks = nil
}
