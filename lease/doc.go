// Package lease distributes control shards among the members by leases, which are
// stored as objects in the platform. Leases only avoid that two nodes do the same work:
// every durable change by a holder is protected by its own conditional update, so
// correctness does not depend on leases.
package lease
