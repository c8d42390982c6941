// Package entry wires the parts of a node that runs on the users' platform and
// runs its life: it forwards requests, tells callers which nodes to use, and
// takes part in forming groups.
package entry
