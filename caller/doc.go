// Package caller is a client of the system for callers: it asks any known node
// for entry addresses, keeps the answer for its time to live, and repeats a
// request through another address only where the verdict permits it.
package caller
