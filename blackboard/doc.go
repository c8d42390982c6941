// Package blackboard holds the shared state of one process as immutable snapshots
// behind atomic pointers. Each section has one owner, which is the only writer.
// Controllers and the request path read it without locks (read-copy-update).
package blackboard
