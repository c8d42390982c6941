// Package embedding contains runnable examples of programs that use the coordination
// packages without the daemon: leases, observers, health checks, idempotency claims,
// shares of rate limits and the exchange between peers. docs/embedding.md explains them.
package embedding
