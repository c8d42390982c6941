package forward

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"

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
	answerBlock = 64 << 10
)

var (
	errAnswerTooLarge = fmt.Errorf("answer has more than %d bytes", maxBuffered)
	errAnswerMemory   = errors.New("other answers take all of the memory for answers")
)

// answerMemory bounds the answers that a node holds until they are whole, so that
// servers that send bytes without end don't take all of its memory.
type answerMemory struct{ free *semaphore.Weighted }

func newAnswerMemory(size int64) *answerMemory {
	return &answerMemory{semaphore.NewWeighted(cmp.Or(size, defaultAnswerBytes))}
}

// readWhole reads a body to its end. The memory is given back by done, which is never
// nil.
func (m *answerMemory) readWhole(body io.Reader) (whole []byte, done func(), err error) {
	var buffer bytes.Buffer
	taken := int64(0)
	done = func() { m.free.Release(taken) }
	for buffer.Len() <= maxBuffered {
		if !m.free.TryAcquire(answerBlock) {
			return nil, done, errAnswerMemory
		}
		taken += answerBlock
		_, err := io.CopyN(&buffer, body, answerBlock)
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), done, nil
		}
		if err != nil {
			return nil, done, err
		}
	}
	return nil, done, errAnswerTooLarge
}
