// Package health decides which backend servers are known to be healthy. Table
// keeps the newest evidence about each instance, Prober observes the instances
// that rendezvous hashing gives this node and probes whole groups on demand.
// Evidence is positive and ages from the moment its probe was sent; a failed
// probe removes evidence at once.
package health
