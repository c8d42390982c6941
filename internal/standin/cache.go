package standin

import (
	"container/list"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the size of a prefix cache block, in prompt tokens.
	BlockTokens = 16
	cacheBlocks = 4096
	cacheEvents = 1024
	// eventLag is the time until a cache event can be read.
	eventLag = 200 * time.Millisecond
	// Each eventGap-th event is lost.
	eventGap = 17
)

// CacheEvent tells that a prefix cache block was stored or removed.
type CacheEvent struct {
	Number uint64 `json:"number"`
	// Block is the hash of the prompt's prefix up to the block's end.
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// CacheEvents is the answer of GET /v1/cache-events. Numbers have gaps.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	Events []CacheEvent `json:"events"`
}

type timedEvent struct {
	CacheEvent
	at time.Time
}

// prefixCache keeps the most recently used prefix blocks. It is guarded by the
// engine's lock.
type prefixCache struct {
	blocks map[uint64]*list.Element
	order  *list.List
	number uint64
	events []timedEvent
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: make(map[uint64]*list.Element), order: list.New()}
}

// Blocks returns the prefix block hashes of a prompt.
func Blocks(prompt string) []uint64 {
	words := strings.Fields(prompt)
	var h xxhash.Digest
	h.Reset()
	var blocks []uint64
	for i, word := range words {
		_, _ = h.WriteString(word + " ")
		if (i+1)%BlockTokens == 0 {
			blocks = append(blocks, h.Sum64())
		}
	}
	return blocks
}

// use stores a prompt's blocks and returns the prompt tokens found before.
func (c *prefixCache) use(prompt string) int {
	hits := 0
	for i, block := range Blocks(prompt) {
		if element, ok := c.blocks[block]; ok {
			if hits == i {
				hits++
			}
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.note(block, true)
		if c.order.Len() > cacheBlocks {
			oldest := c.order.Remove(c.order.Back()).(uint64)
			delete(c.blocks, oldest)
			c.note(oldest, false)
		}
	}
	return hits * BlockTokens
}

func (c *prefixCache) note(block uint64, stored bool) {
	c.number++
	if c.number%eventGap == 0 {
		return
	}
	c.events = append(c.events, timedEvent{CacheEvent{c.number, block, stored}, time.Now()})
	if len(c.events) > cacheEvents {
		c.events = c.events[len(c.events)-cacheEvents:]
	}
}

// after returns the readable events with a greater number.
func (c *prefixCache) after(number uint64) []CacheEvent {
	found := []CacheEvent{}
	for _, e := range c.events {
		if e.Number > number && time.Since(e.at) >= eventLag {
			found = append(found, e.CacheEvent)
		}
	}
	return found
}
