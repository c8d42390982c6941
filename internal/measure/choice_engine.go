package measure

import (
	"container/list"
	"time"
)

// Model of one group's engine. With these times a step with 220 streams and a full
// prefill chunk takes 21 ms, which leaves a margin to the target of 26 ms between
// tokens.
const (
	// stepBase is the fixed time of a step.
	stepBase = 8 * time.Millisecond
	// stepPerStream is the additional step time for each running stream.
	stepPerStream = 30 * time.Microsecond
	// stepPerPromptToken is the additional step time for each prompt token.
	stepPerPromptToken = 6 * time.Microsecond
	// chunkTokens is the maximum number of prompt tokens processed in a step.
	chunkTokens = 1024
	// decodeSlots is the number of slots of a group at the design point.
	decodeSlots = 512
	// kvTokens is the KV cache capacity of a group, in tokens. The streams of the
	// design point use about a third of it.
	kvTokens = 2_000_000
)

// simRequest is one request and its progress in the simulation.
type simRequest struct {
	turn
	// node is the index of the node that receives the request.
	node int
	// arrived is the time at which the request arrived at the node.
	arrived time.Duration
	// sent is the time at which the latest attempt was sent to a group.
	sent time.Duration
	// first is the time of the first token; 0 until then.
	first time.Duration
	// prefillLeft is the number of uncached prompt tokens not yet processed.
	prefillLeft int
	// produced is the number of output tokens that the caller has received.
	produced int
	attempts int
	// ended is the time at which the answer was complete; 0 while the request runs.
	ended time.Duration
}

// simEngine is one group with continuous batching: each step produces one token
// for every stream and processes up to one chunk of waiting prompts.
type simEngine struct {
	waiting []*simRequest
	running []*simRequest
	// kvUsed is the KV cache space that waiting and running requests occupy, in tokens.
	kvUsed int
	// queuedTokens is the number of prompt tokens not yet processed.
	queuedTokens int
	// slots is the maximum number of running streams.
	slots int
	// slowdown multiplies the step time.
	slowdown float64
	dead     bool
	// busy is true during a step.
	busy bool
	// prefillTokens is the number of prompt tokens processed in the current step.
	prefillTokens int
	cache         prefixCache
	// servedTokens counts the prompt and output tokens processed.
	servedTokens float64
	// kvCapacity is the size of the KV cache in tokens. Space that no request occupies
	// holds cached prefixes.
	kvCapacity int
	reports    []simReport
}

// simReport is a load report and the time at which it was made.
type simReport struct {
	at           time.Duration
	queued, free int
}

// add queues a request and returns the number of its prompt tokens that are cached.
func (e *simEngine) add(r *simRequest) int {
	prompt := r.prompt + r.produced
	hit := min(e.cache.lookup(r), prompt-1)
	r.prefillLeft = prompt - hit
	e.queuedTokens += r.prefillLeft
	e.kvUsed += prompt
	e.waiting = append(e.waiting, r)
	return hit
}

// beginStep starts a step and returns its duration.
func (e *simEngine) beginStep() time.Duration {
	budget := chunkTokens
	slots := e.slots - len(e.running)
	for i := 0; i < len(e.waiting) && budget > 0 && i < slots; i++ {
		part := min(e.waiting[i].prefillLeft, budget)
		e.waiting[i].prefillLeft -= part
		budget -= part
	}
	e.prefillTokens = chunkTokens - budget
	e.queuedTokens -= e.prefillTokens
	e.busy = true
	step := stepBase + time.Duration(len(e.running))*stepPerStream + time.Duration(e.prefillTokens)*stepPerPromptToken
	return time.Duration(float64(step) * e.slowdown)
}

// endStep ends a step. It calls first for each request whose attempt produced its
// first token, and done for each request that is complete.
func (e *simEngine) endStep(first, done func(r *simRequest)) {
	e.servedTokens += float64(e.prefillTokens + len(e.running))
	kept := e.running[:0]
	for _, r := range e.running {
		r.produced++
		e.kvUsed++
		if r.produced < r.output {
			kept = append(kept, r)
			continue
		}
		e.finish(r)
		done(r)
	}
	e.running = kept
	n := 0
	for n < len(e.waiting) && e.waiting[n].prefillLeft == 0 && len(e.running) < e.slots {
		r := e.waiting[n]
		n++
		r.produced++
		e.kvUsed++
		first(r)
		if r.produced >= r.output {
			e.finish(r)
			done(r)
			continue
		}
		e.running = append(e.running, r)
	}
	e.waiting = e.waiting[n:]
	e.busy = false
}

// finish frees the KV cache space of r and caches its prompt and answer.
func (e *simEngine) finish(r *simRequest) {
	e.kvUsed -= r.prompt + r.produced
	e.cache.store(r, e.kvCapacity-e.kvUsed)
}

// prefixCache is an LRU cache of prompt prefixes, by the number of the conversation
// or, below zero, of the system prompt.
type prefixCache struct {
	used    int
	order   *list.List
	entries map[int]*list.Element
}

type cacheEntry struct{ key, tokens int }

func newPrefixCache() prefixCache {
	return prefixCache{order: list.New(), entries: make(map[int]*list.Element)}
}

// lookup returns the length in tokens of the longest cached prefix of r's prompt.
func (c *prefixCache) lookup(r *simRequest) int {
	hit := 0
	for _, key := range []int{r.conversation, -1 - r.system} {
		if element := c.entries[key]; element != nil {
			c.order.MoveToFront(element)
			hit = max(hit, element.Value.(*cacheEntry).tokens)
		}
	}
	return hit
}

// store caches the prompt and the answer of r, then evicts what exceeds capacity
// tokens.
func (c *prefixCache) store(r *simRequest, capacity int) {
	c.put(-1-r.system, r.systemTokens)
	c.put(r.conversation, r.prompt+r.produced)
	c.evict(max(capacity, 0))
}

// put sets the length of an entry and makes it the most recently used one.
func (c *prefixCache) put(key, tokens int) {
	if element := c.entries[key]; element != nil {
		entry := element.Value.(*cacheEntry)
		c.used += tokens - entry.tokens
		entry.tokens = tokens
		c.order.MoveToFront(element)
	} else {
		c.entries[key] = c.order.PushFront(&cacheEntry{key, tokens})
		c.used += tokens
	}
}

// evict removes the least recently used entries until capacity tokens suffice.
func (c *prefixCache) evict(capacity int) {
	for c.used > capacity {
		last := c.order.Back()
		entry := last.Value.(*cacheEntry)
		c.used -= entry.tokens
		delete(c.entries, entry.key)
		c.order.Remove(last)
	}
}
