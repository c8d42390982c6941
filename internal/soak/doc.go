// Package soak runs nodes of the users' platform as separate processes against the
// stand-in, injects faults drawn by a seed from outside them, and checks what callers
// and backend servers see: faults overlap and come in series, and callers keep their
// connections until a process is gone.
package soak
