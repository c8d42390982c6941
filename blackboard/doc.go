// Package blackboard holds what one process knows, as immutable snapshots
// behind atomic pointers. Each section has one owner, the only writer;
// controllers and the request path read without locks (read-copy-update).
package blackboard
