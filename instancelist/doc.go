// Package instancelist reads the platform's instance list, which lags behind the
// truth: an instance that is listed may be gone, and one that serves may not
// be listed yet.
package instancelist
