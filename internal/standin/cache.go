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
	// maxCacheBlocks is the number of blocks that an engine keeps before it
	// evicts the least recently used one.
	maxCacheBlocks = 4096
	// maxCacheEvents is the number of most recent events that can be read.
	maxCacheEvents = 1024
	// cacheEventLag is the time until a cache event can be read.
	cacheEventLag = 200 * time.Millisecond
	// lostCacheEventInterval simulates lost events: every 17th event is dropped.
	lostCacheEventInterval = 17
)

// CacheEvent reports that a prefix cache block was stored or evicted.
type CacheEvent struct {
	// Number counts the engine's cache events from 1 since its last restart.
	Number uint64 `json:"number"`
	// Block is the hash of the prompt's prefix up to the block's end.
	Block uint64 `json:"block"`
	// Stored is false if the block was evicted.
	Stored bool `json:"stored"`
}

// CacheEvents is the response body of GET /v1/cache-events. The events' numbers
// have gaps where events were lost.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	Events []CacheEvent `json:"events"`
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	CacheEvent
	at time.Time
}

// prefixCache is an LRU cache of prompt prefix blocks. It is guarded by the
// engine's mutex.
type prefixCache struct {
	blocks map[uint64]*list.Element
	lru    *list.List
	number uint64
	events []timedEvent
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// BlockHashes returns, for each complete block of a prompt, the hash of the
// prompt up to the block's end.
func BlockHashes(prompt string) []uint64 {
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

// use stores a prompt's blocks and returns the number of prompt tokens, from the
// prompt's start, that were already cached.
func (c *prefixCache) use(prompt string) int {
	hits := 0
	for i, block := range BlockHashes(prompt) {
		if element, ok := c.blocks[block]; ok {
			if hits == i {
				hits++
			}
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.lru.PushFront(block)
		c.addEvent(block, true)
		if c.lru.Len() > maxCacheBlocks {
			oldest := c.lru.Remove(c.lru.Back()).(uint64)
			delete(c.blocks, oldest)
			c.addEvent(oldest, false)
		}
	}
	return hits * BlockTokens
}

// addEvent records a cache event, unless it is one that is lost.
func (c *prefixCache) addEvent(block uint64, stored bool) {
	c.number++
	if c.number%lostCacheEventInterval == 0 {
		return
	}
	c.events = append(c.events, timedEvent{CacheEvent{c.number, block, stored}, time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the events with a greater number that are older than
// cacheEventLag.
func (c *prefixCache) after(number uint64) []CacheEvent {
	found := []CacheEvent{}
	for _, e := range c.events {
		if e.Number > number && time.Since(e.at) >= cacheEventLag {
			found = append(found, e.CacheEvent)
		}
	}
	return found
}
