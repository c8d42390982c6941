// Package mesh lets the nodes of a deployment tell each other their state: which
// requests they have at which backend servers, which of these they found silent,
// which versions of the platform's documents they hold, and whether they leave.
// State is sent whole in datagrams, so that a lost one does no harm. Nodes that
// can't reach the platform take its documents from another node.
//
// A few nodes tell everyone. With more, each node tells two aggregators of its
// failure domain. These sum the states of their domain, exchange the sums with
// the aggregators of other domains, and tell each node of their domain the sum of
// all others. What a node sends and receives then doesn't grow with their number.
package mesh
