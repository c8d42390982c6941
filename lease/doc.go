// Package lease divides control shards among the members with leases on
// objects. A lease only keeps two nodes from doing the same work: every durable
// change by a holder is protected by a conditional update of its own, so no
// guarantee depends on a lease.
package lease
