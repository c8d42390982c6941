// Package instancelist reads the platform's instance list. The list lags behind
// the actual state: a listed instance may be gone, and an instance that serves
// may not be listed yet.
package instancelist
