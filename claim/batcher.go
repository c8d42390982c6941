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
	// conflictBackoff is the upper limit of the random wait after a version conflict.
	// It keeps nodes that write the same partition from conflicting again.
	conflictBackoff = 20 * time.Millisecond
	// outageBackoff is the average wait after a failed call to the platform; the wait is
	// random, from half of it to one and a half times it.
	outageBackoff = 100 * time.Millisecond
	// cacheIdleTimeout is how long an unused partition stays in memory. All partitions
	// together may take hundreds of megabytes.
	cacheIdleTimeout = 10 * time.Second
)

// pendingOperation is an operation that waits for the result of its batch.
type pendingOperation struct {
	ctx  context.Context
	op   operation
	done chan result
	// ambiguous is true if the outcome of a write that included the operation is unknown.
	ambiguous bool
}

// batcher reads and writes one partition. At most one update is in flight; operations
// that arrive in the meantime go into the next one.
type batcher struct {
	registry *Registry
	key      object.Key

	mu sync.Mutex
	// waiting holds the operations for the next batch.
	waiting []*pendingOperation
	// running is true while a goroutine runs flushLoop.
	running bool
	// idleTimer frees the cached partition after cacheIdleTimeout without use.
	idleTimer *time.Timer

	// version, current and size (encoded, in bytes) describe the cached partition, the
	// newest one that was read or written here; current is nil if none is cached. They
	// are used only by the goroutine that runs flushLoop, and by dropCache while there
	// is none.
	version object.Version
	current *partition
	size    int
}

// do runs op in the next batch and returns its result.
func (b *batcher) do(ctx context.Context, op operation) result {
	p := &pendingOperation{ctx: ctx, op: op, done: make(chan result, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, p)
	start := !b.running
	b.running = true
	b.mu.Unlock()
	if start {
		go b.flushLoop()
	}
	return <-p.done
}

// flushLoop writes batches until no operation waits. The operations of a failed batch
// are retried together with those that arrived in the meantime, so that a final state
// that is retried for minutes does not delay new claims.
func (b *batcher) flushLoop() {
	time.Sleep(b.registry.config.BatchWindow)
	var batch []*pendingOperation
	for {
		batch = failExpired(b.takeWaiting(batch))
		if len(batch) == 0 && b.stopIfIdle() {
			return
		}
		if len(batch) > 0 {
			batch = b.flush(batch)
		}
	}
}

// takeWaiting returns batch followed by the waiting operations, which wait no longer.
func (b *batcher) takeWaiting(batch []*pendingOperation) []*pendingOperation {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch = append(batch, b.waiting...)
	b.waiting = nil
	return batch
}

// stopIfIdle reports whether no operation waits. If so, it marks the goroutine of
// flushLoop as ended and starts the idle timer.
func (b *batcher) stopIfIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) > 0 {
		return false
	}
	b.running = false
	if b.idleTimer == nil {
		b.idleTimer = time.AfterFunc(cacheIdleTimeout, b.dropCache)
	} else {
		b.idleTimer.Reset(cacheIdleTimeout)
	}
	return true
}

// dropCache frees the cached partition unless flushLoop is running.
func (b *batcher) dropCache() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running {
		b.current = nil
	}
}

// flush tries a batch once and returns the operations that have no result yet. After a
// conflict or a write of unknown outcome, all operations are applied again to a newly
// read partition.
func (b *batcher) flush(batch []*pendingOperation) []*pendingOperation {
	results, err := b.tryBatch(batch)
	if err == nil {
		sendResults(batch, results)
		return nil
	}
	if errors.Is(err, object.ErrAmbiguous) {
		for _, p := range batch {
			p.ambiguous = true
		}
	}
	b.current = nil
	b.backOff(err)
	return batch
}

// backOff waits before the next try: up to conflictBackoff after a conflict, longer after
// a failed call to the platform.
func (b *batcher) backOff(err error) {
	if errors.Is(err, object.ErrConflict) {
		b.registry.metrics.conflicts.Inc(1)
		time.Sleep(rand.N(conflictBackoff))
		return
	}
	b.registry.metrics.failures.Inc(1)
	time.Sleep(outageBackoff/2 + rand.N(outageBackoff))
}

// failExpired sends an error to the operations whose context has ended and returns the
// others.
func failExpired(batch []*pendingOperation) []*pendingOperation {
	kept := make([]*pendingOperation, 0, len(batch))
	for _, p := range batch {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
			continue
		}
		p.done <- result{err: &notDurableError{ambiguous: p.ambiguous}}
	}
	return kept
}

// tryBatch applies the batch to the partition, with at most one read and one update.
func (b *batcher) tryBatch(batch []*pendingOperation) ([]result, error) {
	ctx, cancel := context.WithTimeout(b.registry.ctx, b.registry.config.CallTimeout)
	defer cancel()
	if err := b.loadPartition(ctx, batch); err != nil {
		return nil, err
	}
	next := b.current.clone()
	results := make([]result, len(batch))
	changed := false
	for i, p := range batch {
		if begin, ok := p.op.(*beginOperation); ok {
			begin.partitionFull = b.size > MaxPartitionSize
		}
		var c change
		results[i], c = p.op.apply(next)
		changed = changed || c == changeMade
	}
	if !changed {
		return results, nil
	}
	return results, b.writePartition(ctx, next)
}

// loadPartition reads the partition if it is not cached, or if the cached state is not
// sufficient for a repeat: a claim that was open when it was cached may have been
// completed by another node since.
func (b *batcher) loadPartition(ctx context.Context, batch []*pendingOperation) error {
	if b.current != nil && !b.needsRead(batch) {
		return nil
	}
	known := b.version
	if b.current == nil {
		known = 0
	}
	o, newer, err := b.registry.store.GetIfNewer(ctx, b.key, known)
	if errors.Is(err, object.ErrNotFound) {
		return b.setCurrent(0, nil)
	}
	if err != nil {
		return err
	}
	if !newer && b.current != nil {
		return nil
	}
	return b.setCurrent(o.Version, o.Value)
}

// needsRead reports whether a begin operation of the batch finds a claim in the cached
// partition that is not in state answered.
func (b *batcher) needsRead(batch []*pendingOperation) bool {
	for _, p := range batch {
		begin, ok := p.op.(*beginOperation)
		if !ok {
			continue
		}
		if e, exists := b.current.entries[begin.name]; exists && e.State != stateAnswered {
			return true
		}
	}
	return false
}

// setCurrent decodes a value that was read and makes it the cached partition.
func (b *batcher) setCurrent(version object.Version, value []byte) error {
	p, err := decodePartition(value)
	if err != nil {
		return err
	}
	b.version = version
	b.current = p
	b.size = len(value)
	return nil
}

// writePartition stores next on condition that the cached version is still the newest.
func (b *batcher) writePartition(ctx context.Context, next *partition) error {
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

// sendResults sends each operation of the batch its result.
func sendResults(batch []*pendingOperation, results []result) {
	for i, p := range batch {
		p.done <- results[i]
	}
}

// notDurableError means that the context of an operation ended before its write was
// known to have taken effect.
type notDurableError struct {
	// ambiguous is true if a write may have taken effect or may still do so.
	ambiguous bool
}

// Error implements error.
func (e *notDurableError) Error() string {
	if e.ambiguous {
		return "outcome of the claim write unknown when its context ended"
	}
	return "claim not written before its context ended"
}

// platformError returns the refusal of a call whose claim could not be stored.
func platformError(cause error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonPlatform,
		"the call must not run twice and its idempotency claim could not be stored").
		WithCause(cause).WithRetryAfter(inProgressRetryAfter)
}
