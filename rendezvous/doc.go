// Package rendezvous assigns keys to nodes by rendezvous hashing (highest
// random weight). A node that joins or leaves moves only the keys that it gains
// or loses.
package rendezvous
