// Package replica holds the newest version of each shared document: the
// configuration, the placement of each fabric domain and the instance list. It
// reads them from the platform, fetches them from peers and publishes them on the
// blackboard. It also decides until when this node may serve with its configuration
// revision (Confirmer).
package replica
