// Package follow keeps a copy of all objects of one kind in the platform's store. It
// lists them once and then watches for changes. A node that can't reach the store can
// replace its copy with a newer one from another node.
package follow
