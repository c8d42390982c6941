// Package peer exchanges state between the nodes of the system: membership,
// document versions, evidence about backend servers, losses, confirmations and
// demand. Up to FullMeshMembers members every node asks every other once per
// interval. Above that, members and evidence travel over a relay tree, and every
// node asks one random peer an interval, with bounded answers, as anti-entropy and
// as the way in for new nodes.
//
// Ages instead of times travel in messages. What arrives in a response is dated
// by the moment the request was sent minus the age stated, so a delay or a
// paused process makes a statement look older, never fresher. Requests have no
// such bound and therefore refresh no heartbeat and carry no positive evidence.
package peer
