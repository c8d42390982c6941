// Package retry decides whether and when a failed attempt is repeated: by its
// verdict, by a budget that bounds the extra load, and after a backoff with
// jitter.
package retry
