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
	// maxBuffered is the length in bytes up to which an answer is held until it is
	// whole, so that a broken one can be repeated or reported.
	maxBuffered = 8 << 20
	// defaultAnswerBytes bounds all answers that are held at a time, in bytes: two of
	// the longest.
	defaultAnswerBytes = 2 * maxBuffered
	// answerBlock is the number of bytes for which memory is taken at a time. Usual
	// answers are shorter.
	answerBlock = 16 << 10
)

var (
	errAnswerTooLarge = fmt.Errorf("answer has more than %d bytes", maxBuffered)
	errAnswerMemory   = errors.New("other answers take all of the memory for answers")
)

// block is a part of a held answer.
type block = [answerBlock]byte

var blocks = sync.Pool{New: func() any { return new(block) }}

// answerMemory bounds the answers that a node holds until they are whole, so that
// servers that send bytes without end don't take all of its memory.
type answerMemory struct{ free *semaphore.Weighted }

func newAnswerMemory(size int64) *answerMemory {
	return &answerMemory{semaphore.NewWeighted(cmp.Or(size, defaultAnswerBytes))}
}

// readWhole reads a body to its end. The caller releases it.
func (m *answerMemory) readWhole(source io.Reader) (*wholeBody, error) {
	body := &wholeBody{memory: m}
	err := body.fill(source)
	if err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// wholeBody is a body that was read to its end. It is held in blocks, since a buffer
// that grows would leave as much again behind.
type wholeBody struct {
	memory *answerMemory
	blocks []*block
	length int
}

// fill reads the source to its end.
func (b *wholeBody) fill(source io.Reader) error {
	for b.length <= maxBuffered {
		if b.length == len(b.blocks)*answerBlock {
			if !b.memory.free.TryAcquire(answerBlock) {
				return errAnswerMemory
			}
			b.blocks = append(b.blocks, blocks.Get().(*block))
		}
		n, err := source.Read(b.blocks[len(b.blocks)-1][b.length%answerBlock:])
		b.length += n
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return errAnswerTooLarge
}

// writeTo writes the body.
func (b *wholeBody) writeTo(w io.Writer) error {
	for i, part := range b.blocks {
		if _, err := w.Write(part[:min(answerBlock, b.length-i*answerBlock)]); err != nil {
			return err
		}
	}
	return nil
}

// release gives the memory back; the body isn't used afterwards.
func (b *wholeBody) release() {
	for _, part := range b.blocks {
		blocks.Put(part)
	}
	b.memory.free.Release(int64(len(b.blocks)) * answerBlock)
	b.blocks = nil
}
