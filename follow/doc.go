// Package follow keeps a copy of one kind of objects of the platform's store, by
// a list and then by watches. A node that can't reach the store takes a newer
// copy from another node.
package follow
