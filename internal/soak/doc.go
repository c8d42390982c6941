// Package soak is a fault injection test of nodes on the users' platform. It runs the
// nodes as separate processes against simulated stores and engines, injects random
// faults from outside the processes, and checks the guarantees from the responses to
// callers and the requests that backend servers ran. The faults follow from a seed;
// they overlap and come in series. Callers keep their connections open until the
// process at the other end has ended.
package soak
