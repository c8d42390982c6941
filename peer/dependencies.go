package peer

import (
	"context"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/quarantine"
)

// DocumentVersion identifies a version of a document.
type DocumentVersion struct {
	Name    string
	Version uint64
}

// Document is one version of a document with its body.
type Document struct {
	DocumentVersion
	Body []byte
}

// Offer is a document version that a peer reported to hold.
type Offer struct {
	DocumentVersion
	// Peer is the name of the node that holds it.
	Peer string
	// Fetch downloads the document from the peer. The result may be a newer version.
	Fetch func(ctx context.Context) (Document, error)
}

// Documents stores the newest version of each document. Implementations are safe
// for concurrent use.
type Documents interface {
	// Versions returns the stored versions, the most important document first.
	Versions() []DocumentVersion
	// Body returns the newest version of a document; ok is false if there is none.
	Body(name string) (d Document, ok bool)
	// Offer is called for every version that a peer reports. It must not block.
	Offer(offer Offer)
}

// EvidenceTable stores evidence about backend servers.
type EvidenceTable interface {
	// Observe adds positive evidence received from a peer.
	Observe(observation blackboard.Observation)
	// RecordLoss adds a loss announced by a peer.
	RecordLoss(loss blackboard.Loss)
	// Observations returns the evidence that is at most maxAge old.
	Observations(maxAge time.Duration) []blackboard.Observation
}

// DemandSource measures the demand at this node.
type DemandSource interface {
	// LocalDemand returns the current demand at this node.
	LocalDemand() blackboard.NodeDemand
}

// Confirmation states that at ConfirmedAt no configuration revision newer than
// Revision had been accepted.
type Confirmation struct {
	Revision    fleet.Revision
	ConfirmedAt time.Time
}

// PendingRevision is a configuration revision that a node was about to write at
// PreparedAt. It may have been accepted.
type PendingRevision struct {
	Revision   fleet.Revision
	PreparedAt time.Time
}

// ConfirmationSource provides this node's newest confirmation and pending revision.
type ConfirmationSource interface {
	// Confirmation returns the newest confirmation; ok is false if there is none.
	Confirmation() (confirmation Confirmation, ok bool)
	// Pending returns the newest pending revision; ok is false if there is none.
	Pending() (pending PendingRevision, ok bool)
	// Ready reports whether, since this process started, its revision was confirmed or
	// it had contact with a majority that does not include itself. A process that is
	// not ready refuses exchanges, so that no node counts it as a member that has
	// received every pending revision.
	Ready() bool
}

// ConfirmationSink receives the confirmations and pending revisions of peers.
type ConfirmationSink interface {
	// ObserveConfirmation is called for every confirmation received from a peer.
	ObserveConfirmation(node string, confirmation Confirmation)
	// ObservePending is called for every pending revision received from a peer.
	ObservePending(pending PendingRevision)
}

// Quarantine finds requests that crash engines from what all nodes observe.
type Quarantine interface {
	// Report returns what this node has to tell other nodes.
	Report() quarantine.Reports
	// Absorb records what a peer has reported.
	Absorb(reports quarantine.Reports)
	// Observed returns a channel that is closed when this node observes something.
	Observed() <-chan struct{}
}

// Dependencies are the components of the process that a Node reads from and reports
// to. All but Quarantine are required.
type Dependencies struct {
	// Documents provides the documents of this node and receives the offers of peers.
	Documents Documents
	// Evidence provides the evidence to pass on and receives that of peers.
	Evidence EvidenceTable
	// Demand provides the demand at this node.
	Demand DemandSource
	// ConfirmationSource provides the confirmation to pass on.
	ConfirmationSource ConfirmationSource
	// ConfirmationSink receives the confirmations of peers.
	ConfirmationSink ConfirmationSink
	// Quarantine provides the observations to pass on and receives those of peers; nil if
	// none are exchanged.
	Quarantine Quarantine
}
