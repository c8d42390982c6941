// Package entry assembles a node that runs on the users' platform and manages its
// lifecycle. The node forwards requests, hands out the addresses of nodes to callers,
// and takes part in forming groups.
package entry
