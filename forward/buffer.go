package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rattanlanding/rattanlanding/memory"
)

const (
	// maxBuffered is the largest length in bytes of a response that is buffered until it
	// is complete, so that an incomplete one can be retried or reported.
	maxBuffered = 8 << 20
	// maxResponseWait is the longest time that a response waits for memory. Its request has
	// run, so that a refusal costs more than the wait.
	maxResponseWait = 2 * time.Second
)

var (
	errResponseTooLarge = fmt.Errorf("response has more than %d bytes", maxBuffered)
	errBuffersFull      = errors.New("buffered responses use all of the memory for responses")
)

// readResponse reads the body of a response to its end. The caller must release it. Its memory
// may be given up only while it is sent to a caller who doesn't read.
func (h *Handler) readResponse(c *call, source io.Reader) (*memory.Buffer, error) {
	control := http.NewResponseController(c.writer)
	hold := h.Memory.NewHold(memory.Responses, c.owner(), func() { _ = control.SetWriteDeadline(time.Now()) })
	hold.SetRevocable(false)
	body := memory.NewBuffer(hold)
	err := body.Fill(source, maxBuffered, func() time.Duration { return min(maxResponseWait, time.Until(c.deadline)/waitPart) })
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, memory.ErrTooLarge):
		err = errResponseTooLarge
	case errors.Is(err, memory.ErrNoMemory):
		err = errBuffersFull
	}
	body.Release()
	return nil, err
}
