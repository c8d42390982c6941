// Package wait lets a goroutine wait for a time or the end of a context,
// whichever comes first.
package wait
