// Package node wires the parts of the system into one daemon with fx and runs
// its life from start to graceful shutdown.
package node
