// Package peer exchanges state between the nodes of the system: membership,
// document versions, evidence about backend servers, losses, confirmations and
// demand. With up to FullMeshMembers members, every node polls every other node
// once per interval. Above that, membership and evidence are disseminated over a
// relay tree, and every node also polls one random peer per interval, with
// responses of bounded size. This gossip is the anti-entropy mechanism and the way
// for new nodes to join.
//
// Messages carry ages instead of timestamps. The receiver of a response computes
// the time of an entry as the time at which it sent the request minus the age in
// the response, so a delay or a paused process makes an entry look older, never
// fresher. Requests have no such bound and therefore refresh no heartbeat and carry
// no positive evidence.
package peer
