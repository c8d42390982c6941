// Package mesh exchanges state between the nodes of a deployment: the number of
// requests that each node has in flight at each backend server, the backend servers
// that it suspects, the versions of the platform's documents that it holds, and
// whether it is shutting down. Each datagram holds the complete state, so a lost one
// does no harm. Nodes that can't reach the platform fetch its documents from another
// node; the exchanged versions show which one.
//
// In a small deployment each node sends its state to all others. In a larger one,
// each node sends it to two aggregators of its failure domain. The aggregators sum
// the states of their domain, exchange the sums with the aggregators of other
// domains, and send each node of their domain the sum of all others. The traffic of
// a node then doesn't grow with the number of nodes.
//
// Observations of prompts that crash engines take the same way in datagrams of their own,
// as nodes of earlier builds accept no additional fields in a state.
package mesh
