// Package mesh lets the nodes of a deployment tell each other their state: which
// requests they have at which backend servers, which of these they found silent,
// which versions of the platform's documents they hold, and whether they leave.
// State is sent whole in datagrams, so that a lost one does no harm. Nodes that
// can't reach the platform take its documents from another node.
package mesh
