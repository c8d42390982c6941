// Package retry decides whether and when a failed attempt is retried: by its
// verdict, within a retry budget that limits the extra load, and after a backoff
// with jitter.
package retry
