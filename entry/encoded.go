package entry

import (
	"net/http"
	"sync"

	"github.com/gin-gonic/gin"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanlanding/rattanlanding/object"
)

// maxEncoded is the number of answers that are kept. Followers of one copy ask for the
// same changes, those of some are a step behind.
const maxEncoded = 4

// answerKey names an answer: the changes of a document between two cursors, or all of
// it.
type answerKey struct {
	path        string
	whole       bool
	after, upTo object.Version
}

// encodedAnswers shares the bytes of an answer between the nodes that ask for it: of a
// long list, a hundred copies at once would take most of the memory.
type encodedAnswers struct {
	mu   sync.Mutex
	list []encodedAnswer
}

type encodedAnswer struct {
	key  answerKey
	data []byte
}

// write answers another node.
func (e *encodedAnswers) write(c *gin.Context, key answerKey, value any) {
	data, err := e.encode(key, value)
	if err != nil {
		c.Status(http.StatusInternalServerError)
		return
	}
	c.Data(http.StatusOK, "application/msgpack", data)
}

func (e *encodedAnswers) encode(key answerKey, value any) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, known := range e.list {
		if known.key == key {
			return known.data, nil
		}
	}
	data, err := msgpack.Marshal(value)
	if err != nil {
		return nil, err
	}
	if len(e.list) == maxEncoded {
		e.list = e.list[1:]
	}
	e.list = append(e.list, encodedAnswer{key, data})
	return data, nil
}
