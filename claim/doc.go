// Package claim keeps the durable records that let a call with an idempotency
// key run at most once.
package claim
