// Package drain decides which requests a node still takes while it stops, so that each
// request that it has read is answered before the process ends.
package drain
