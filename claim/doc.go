// Package claim keeps durable idempotency claims in the platform's Object API,
// so that a call with an idempotency key runs at most once whichever node it is
// sent to. Claims are grouped into partitions; each node writes the claims that
// wait for one partition in one conditional update.
//
// A claim is never taken over: a repeat of a call whose first holder died gets
// the verdict "may have run".
package claim
