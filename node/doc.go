// Package node assembles the components of a node into one daemon with fx and
// runs it from its start to its graceful shutdown.
package node
