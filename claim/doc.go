// Package claim stores durable idempotency claims in the platform's Object API, so that
// a call with an idempotency key runs at most once whichever node it is sent to. Claims
// are grouped into partitions. Each node batches the pending claims of a partition into
// one conditional update.
//
// A claim is never taken over: a repeat of a call whose node failed before it stored an
// outcome gets the verdict may-have-run.
package claim
