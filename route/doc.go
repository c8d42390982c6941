// Package route builds the table of groups and plain servers that may receive
// new work, and chooses among them. The table is an immutable snapshot; the
// request path reads it without locks and compares the expiry of the evidence
// with the clock when it chooses and again just before it sends.
package route
