// Package route builds the routing table of groups and plain servers that may
// receive new work, and chooses a target from it. The table is an immutable
// snapshot. The request path reads it without locks, and checks that the evidence
// has not expired when it chooses a target and again just before it sends the
// request.
package route
