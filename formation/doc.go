// Package formation is the controller that forms groups of engines. It decides
// which instances run which model together, sends them join commands, opens
// complete groups and closes broken ones. It is active on one node at a time, the
// holder of a lease.
//
// The state of the groups is read from the platform's instance list; nothing is
// stored. Epochs order the member lists: they grow with each group and start above
// those of earlier lease holders, so an engine refuses a delayed command once it has
// seen a higher epoch. An instance is assigned to a new group only when the head of
// its old group certainly runs no requests any more.
package formation
