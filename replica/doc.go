// Package replica holds the newest version of each shared document: the
// configuration, the placement of each fabric domain and the instance list. It
// learns them from the platform and from peers and publishes them on the
// blackboard. It also decides how long this node may serve with its
// configuration revision (Confirmer).
package replica
