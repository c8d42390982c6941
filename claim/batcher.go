package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// conflictBackoff bounds the random wait after a version conflict, so that
	// nodes that write the same partition do not collide again.
	conflictBackoff = 20 * time.Millisecond
	// outageBackoff is the wait after a failed call to the platform.
	outageBackoff = 100 * time.Millisecond
	// cacheIdle is how long an unused partition stays in memory. All partitions
	// together may hold hundreds of megabytes.
	cacheIdle = 10 * time.Second
)

// request is an operation that waits for its batch.
type request struct {
	ctx  context.Context
	op   operation
	done chan result
	// ambiguous tells that a write with this operation had an unknown outcome.
	ambiguous bool
}

// batcher writes one partition. At most one update is in flight; operations
// that arrive meanwhile go into the next one.
type batcher struct {
	registry *Registry
	key      object.Key

	mu      sync.Mutex
	waiting []*request
	running bool
	// idle drops the cached partition after cacheIdle without use.
	idle *time.Timer

	// version and current are the newest partition read or written here. Only
	// the flushing goroutine uses them, and dropIdle while none runs.
	version object.Version
	current *partition
	size    int
}

// do runs op in the next batch and returns its result.
func (b *batcher) do(ctx context.Context, op operation) result {
	r := &request{ctx: ctx, op: op, done: make(chan result, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, r)
	start := !b.running
	b.running = true
	b.mu.Unlock()
	if start {
		go b.flushLoop()
	}
	return <-r.done
}

// flushLoop writes batches until nothing waits. Requests of a failed batch are
// tried again together with those that arrived meanwhile, so that a state that
// is retried for minutes does not hold up new claims.
func (b *batcher) flushLoop() {
	time.Sleep(b.registry.config.BatchWindow)
	var batch []*request
	for {
		batch = expire(b.take(batch))
		if len(batch) == 0 && b.finished() {
			return
		}
		if len(batch) > 0 {
			batch = b.flush(batch)
		}
	}
}

// take returns batch followed by the waiting requests.
func (b *batcher) take(batch []*request) []*request {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch = append(batch, b.waiting...)
	b.waiting = nil
	return batch
}

// finished ends the flushing goroutine if nothing waits.
func (b *batcher) finished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) > 0 {
		return false
	}
	b.running = false
	if b.idle == nil {
		b.idle = time.AfterFunc(cacheIdle, b.dropIdle)
	} else {
		b.idle.Reset(cacheIdle)
	}
	return true
}

// dropIdle frees the cached partition unless it is in use.
func (b *batcher) dropIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running {
		b.current = nil
	}
}

// flush tries a batch once and returns the requests that have no result yet.
// After a conflict or an unclear write all operations are applied again to a
// new read.
func (b *batcher) flush(batch []*request) []*request {
	results, err := b.try(batch)
	if err == nil {
		deliver(batch, results)
		return nil
	}
	if errors.Is(err, object.ErrAmbiguous) {
		for _, r := range batch {
			r.ambiguous = true
		}
	}
	b.current = nil
	b.pause(err)
	return batch
}

// pause waits before the next try, longer when the platform is down.
func (b *batcher) pause(err error) {
	if errors.Is(err, object.ErrConflict) {
		b.registry.metrics.conflicts.Inc(1)
		time.Sleep(rand.N(conflictBackoff))
		return
	}
	b.registry.metrics.failures.Inc(1)
	time.Sleep(outageBackoff/2 + rand.N(outageBackoff))
}

// expire answers the requests whose time is over and returns the others.
func expire(batch []*request) []*request {
	kept := make([]*request, 0, len(batch))
	for _, r := range batch {
		if r.ctx.Err() == nil {
			kept = append(kept, r)
			continue
		}
		r.done <- result{err: &notDurableError{ambiguous: r.ambiguous}}
	}
	return kept
}

// try makes one read (unless cached) and at most one update for the batch.
func (b *batcher) try(batch []*request) ([]result, error) {
	ctx, cancel := context.WithTimeout(b.registry.ctx, b.registry.config.CallTimeout)
	defer cancel()
	if err := b.refresh(ctx, batch); err != nil {
		return nil, err
	}
	next := b.current.clone()
	results := make([]result, len(batch))
	changed := false
	for i, r := range batch {
		if begin, ok := r.op.(*beginOperation); ok {
			begin.full = b.size > MaxPartitionSize
		}
		var c change
		results[i], c = r.op.apply(next)
		changed = changed || c == changeMade
	}
	if !changed {
		return results, nil
	}
	return results, b.write(ctx, next)
}

// refresh reads the partition when it is not cached, or when the cached state
// cannot answer a repeat: a claim seen as open may have been answered since.
func (b *batcher) refresh(ctx context.Context, batch []*request) error {
	if b.current != nil && !b.needsRead(batch) {
		return nil
	}
	known := b.version
	if b.current == nil {
		known = 0
	}
	o, newer, err := b.registry.store.GetIfNewer(ctx, b.key, known)
	if errors.Is(err, object.ErrNotFound) {
		return b.adopt(0, nil)
	}
	if err != nil {
		return err
	}
	if !newer && b.current != nil {
		return nil
	}
	return b.adopt(o.Version, o.Value)
}

// needsRead tells whether an operation of the batch meets an open claim of
// another attempt in the cached partition.
func (b *batcher) needsRead(batch []*request) bool {
	for _, r := range batch {
		begin, ok := r.op.(*beginOperation)
		if !ok {
			continue
		}
		if e, exists := b.current.entries[begin.name]; exists && e.State != stateAnswered {
			return true
		}
	}
	return false
}

// adopt makes a read value the cached partition.
func (b *batcher) adopt(version object.Version, value []byte) error {
	p, err := decodePartition(value)
	if err != nil {
		return err
	}
	b.version = version
	b.current = p
	b.size = len(value)
	return nil
}

// write stores next on the condition that the cached version is the newest.
func (b *batcher) write(ctx context.Context, next *partition) error {
	value, err := next.encode(time.Now(), b.registry.config.Retention)
	if err != nil {
		return err
	}
	version, err := b.registry.store.Update(ctx, b.key, b.version, value)
	if err != nil {
		return err
	}
	b.registry.metrics.writes.Inc(1)
	b.version = version
	b.current = next
	b.size = len(value)
	return nil
}

// deliver hands each request its result.
func deliver(batch []*request, results []result) {
	for i, r := range batch {
		r.done <- results[i]
	}
}

// notDurableError tells that an operation ran out of time before its write was
// known to have taken effect.
type notDurableError struct {
	// ambiguous tells that a write may have taken effect or may still do so.
	ambiguous bool
}

// Error implements error.
func (e *notDurableError) Error() string {
	if e.ambiguous {
		return "claim write outcome unknown"
	}
	return "claim not written"
}

// platformError is the refusal of a call whose claim could not be made.
func platformError(cause error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonPlatform,
		"the call must not run twice and its idempotency claim could not be stored").
		WithCause(cause).WithRetryAfter(inProgressRetry)
}
