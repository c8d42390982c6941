// Package rendezvous assigns keys to nodes by rendezvous hashing (highest random
// weight). When a node joins or leaves, only the keys assigned to that node move.
package rendezvous
