package entry

import (
	"net/http"
	"sync"

	"github.com/gin-gonic/gin"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanlanding/rattanlanding/object"
)

// maxCachedResponses is the number of responses that are kept. Most nodes that follow
// this node's copy request the same changes; some are a step behind.
const maxCachedResponses = 4

// responseKey identifies a response: a whole document, or its changes between two
// cursors.
type responseKey struct {
	path string
	// snapshot is true for a whole document, false for changes.
	snapshot bool
	// after is the cursor at which the changes begin; 0 for a whole document.
	after object.Version
	// upTo is the cursor at which the response ends.
	upTo object.Version
}

// responseCache shares the bytes of an encoded response between the nodes that request
// it: for a long list, a hundred copies at once would take most of the memory.
type responseCache struct {
	mu sync.Mutex
	// responses are in the order in which they were cached, the oldest first.
	responses []cachedResponse
}

type cachedResponse struct {
	key  responseKey
	data []byte
}

// write writes the encoded value as the response to another node.
func (rc *responseCache) write(c *gin.Context, key responseKey, value any) {
	data, err := rc.encode(key, value)
	if err != nil {
		c.Status(http.StatusInternalServerError)
		return
	}
	c.Data(http.StatusOK, "application/msgpack", data)
}

// encode returns the cached bytes for key, or encodes and caches value.
func (rc *responseCache) encode(key responseKey, value any) ([]byte, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, cached := range rc.responses {
		if cached.key == key {
			return cached.data, nil
		}
	}
	data, err := msgpack.Marshal(value)
	if err != nil {
		return nil, err
	}
	if len(rc.responses) == maxCachedResponses {
		rc.responses = rc.responses[1:]
	}
	rc.responses = append(rc.responses, cachedResponse{key, data})
	return data, nil
}
