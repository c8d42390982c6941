// Package formation forms groups of engines: it decides which instances run
// which model together, orders them to join, opens whole groups and closes broken
// ones. One node at a time does this, the holder of a lease.
//
// All that is known of groups comes from the platform's list; nothing is stored.
// Epochs order the member lists: they grow with each group and start above those
// of earlier holders, so an engine refuses a late order once it has seen a newer
// one. An instance is given to a new group only when the head of its old group
// certainly runs nothing any more.
package formation
