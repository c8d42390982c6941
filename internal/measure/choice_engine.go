package measure

import (
	"container/list"
	"time"
)

// Model of one group's engine. The step times make 220 streams with a full
// prefill chunk take 21 ms, with a margin to the 26 ms target between tokens.
const (
	stepBase      = 8 * time.Millisecond
	stepPerStream = 30 * time.Microsecond
	stepPerPrompt = 6 * time.Microsecond
	chunkTokens   = 1024
	decodeSlots   = 512
	// kvTokens is the KV space of a group. The streams of the design point use
	// about a third of it.
	kvTokens = 2_000_000
)

// simRequest is one request on its way through the simulation.
type simRequest struct {
	turn
	node    int
	arrived time.Duration
	sent    time.Duration
	first   time.Duration
	// left is the uncached part of the prompt that is not processed yet.
	left int
	// produced is the number of output tokens that the caller has.
	produced int
	attempts int
	// ended is the time of the whole answer; 0 while it runs.
	ended time.Duration
}

// simEngine is one group with continuous batching: each step produces one token
// for every stream and processes up to one chunk of waiting prompts.
type simEngine struct {
	waiting []*simRequest
	running []*simRequest
	// kv is the space that running streams occupy, in tokens.
	kv     int
	queued int
	slow   float64
	dead   bool
	busy   bool
	chunk  int
	cache  prefixCache
	served float64
	// space is the size of the KV cache. What streams leave free holds prefixes.
	space   int
	reports []simReport
}

// simReport is a load report and the time it stands for.
type simReport struct {
	at           time.Duration
	queued, free int
}

// add puts a request into the queue and returns the cached prompt tokens.
func (e *simEngine) add(r *simRequest) int {
	prompt := r.prompt + r.produced
	hit := min(e.cache.lookup(r), prompt-1)
	r.left = prompt - hit
	e.queued += r.left
	e.kv += prompt
	e.waiting = append(e.waiting, r)
	return hit
}

// begin starts a step and returns its duration.
func (e *simEngine) begin() time.Duration {
	budget := chunkTokens
	slots := decodeSlots - len(e.running)
	for i := 0; i < len(e.waiting) && budget > 0 && i < slots; i++ {
		part := min(e.waiting[i].left, budget)
		e.waiting[i].left -= part
		budget -= part
	}
	e.chunk = chunkTokens - budget
	e.queued -= e.chunk
	e.busy = true
	step := stepBase + time.Duration(len(e.running))*stepPerStream + time.Duration(e.chunk)*stepPerPrompt
	return time.Duration(float64(step) * e.slow)
}

// end ends a step. It calls first for each request whose first token is due and
// done for each that is complete.
func (e *simEngine) end(first, done func(r *simRequest)) {
	e.served += float64(e.chunk + len(e.running))
	kept := e.running[:0]
	for _, r := range e.running {
		r.produced++
		e.kv++
		if r.produced < r.output {
			kept = append(kept, r)
			continue
		}
		e.finish(r)
		done(r)
	}
	e.running = kept
	n := 0
	for n < len(e.waiting) && e.waiting[n].left == 0 && len(e.running) < decodeSlots {
		r := e.waiting[n]
		n++
		r.produced++
		e.kv++
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

func (e *simEngine) finish(r *simRequest) {
	e.kv -= r.prompt + r.produced
	e.cache.store(r, e.space-e.kv)
}

// prefixCache keeps the newest prompts, least recently used out first.
type prefixCache struct {
	used    int
	order   *list.List
	entries map[int]*list.Element
}

type cached struct{ key, tokens int }

func newPrefixCache() prefixCache {
	return prefixCache{order: list.New(), entries: make(map[int]*list.Element)}
}

// lookup returns the tokens of the longest known prefix of r's prompt.
func (c *prefixCache) lookup(r *simRequest) int {
	hit := 0
	for _, key := range []int{r.conversation, -1 - r.system} {
		if element := c.entries[key]; element != nil {
			c.order.MoveToFront(element)
			hit = max(hit, element.Value.(*cached).tokens)
		}
	}
	return hit
}

// store remembers the prompt and the answer of r within capacity tokens.
func (c *prefixCache) store(r *simRequest, capacity int) {
	c.put(-1-r.system, r.systemTokens)
	c.put(r.conversation, r.prompt+r.produced)
	c.evict(max(capacity, 0))
}

func (c *prefixCache) put(key, tokens int) {
	if element := c.entries[key]; element != nil {
		entry := element.Value.(*cached)
		c.used += tokens - entry.tokens
		entry.tokens = tokens
		c.order.MoveToFront(element)
	} else {
		c.entries[key] = c.order.PushFront(&cached{key, tokens})
		c.used += tokens
	}
}

// evict drops the oldest entries above capacity.
func (c *prefixCache) evict(capacity int) {
	for c.used > capacity {
		last := c.order.Back()
		entry := last.Value.(*cached)
		c.used -= entry.tokens
		delete(c.entries, entry.key)
		c.order.Remove(last)
	}
}
