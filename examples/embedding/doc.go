// Package embedding shows in runnable examples how a program uses the
// coordination packages without the daemon: leases, observers, claims, limit
// shares and the exchange between peers. docs/embedding.md explains them.
package embedding
