package peer

import (
	"context"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// DocumentVersion names a version of a document.
type DocumentVersion struct {
	Name    string
	Version uint64
}

// Document is one version of a document with its body.
type Document struct {
	DocumentVersion
	Body []byte
}

// Offer tells that a peer holds a version of a document.
type Offer struct {
	DocumentVersion
	// Peer is the node that holds it.
	Peer string
	// Fetch asks the peer for the body. The answer may be a newer version.
	Fetch func(ctx context.Context) (Document, error)
}

// Documents holds the newest version of each document. Implementations are safe
// for concurrent use.
type Documents interface {
	// Versions lists what is held, the most important document first.
	Versions() []DocumentVersion
	// Body returns the newest version of a document; ok=false if none is held.
	Body(name string) (d Document, ok bool)
	// Offer is called for every version that a peer states. It must not block.
	Offer(offer Offer)
}

// EvidenceTable holds evidence about backend servers.
type EvidenceTable interface {
	// Observe adds positive evidence that a peer stated.
	Observe(observation blackboard.Observation)
	// Lose adds a loss that a peer announced.
	Lose(loss blackboard.Loss)
	// Observations returns the evidence that is at most maxAge old.
	Observations(maxAge time.Duration) []blackboard.Observation
}

// DemandSource measures the demand at this node.
type DemandSource interface {
	LocalDemand() blackboard.NodeDemand
}

// ConfirmationStatement states that no revision newer than Revision had been
// accepted at ConfirmedAt.
type ConfirmationStatement struct {
	Revision    fleet.Revision
	ConfirmedAt time.Time
}

// PendingRevision is a revision that a node was about to write. It may have been
// accepted.
type PendingRevision struct {
	Revision   fleet.Revision
	PreparedAt time.Time
}

// ConfirmationSource states what this node knows of the newest revision.
type ConfirmationSource interface {
	// Confirmation returns the newest confirmation; ok=false if there is none.
	Confirmation() (statement ConfirmationStatement, ok bool)
	// Pending returns the newest pending revision; ok=false if there is none.
	Pending() (pending PendingRevision, ok bool)
	// Ready tells whether this process has learnt what a majority knows since
	// it started. A process that is not ready answers no exchange, so that
	// nobody counts it as a member that knows of every pending revision.
	Ready() bool
}

// ConfirmationSink receives the confirmations of peers.
type ConfirmationSink interface {
	Confirmed(node string, statement ConfirmationStatement)
	// Prepared is called for every pending revision that a peer states.
	Prepared(pending PendingRevision)
}

// Ports are the parts of the process that a Node serves. All are required.
type Ports struct {
	Documents Documents
	Evidence  EvidenceTable
	Demand    DemandSource
	Confirmed ConfirmationSource
	Confirm   ConfirmationSink
}
