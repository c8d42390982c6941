package peer

import (
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// Fake implements all interfaces of Dependencies in memory, for tests of packages that
// embed a Node. The zero value is ready for use.
type Fake struct {
	mu           sync.Mutex
	documents    []Document
	offers       []Offer
	losses       []blackboard.Loss
	observed     []blackboard.Observation
	demand       blackboard.NodeDemand
	confirmation *Confirmation
	pending      *PendingRevision
	notReady     bool
	confirmedBy  map[string]Confirmation
}

// Dependencies returns dependencies that are all implemented by f.
func (f *Fake) Dependencies() Dependencies {
	return Dependencies{Documents: f, Evidence: f, Demand: f, ConfirmationSource: f, ConfirmationSink: f}
}

// SetDocument stores a document.
func (f *Fake) SetDocument(d Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.documents = append(f.documents, d)
}

// SetDemand sets the local demand.
func (f *Fake) SetDemand(d blackboard.NodeDemand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand = d
}

// SetConfirmation sets this node's own confirmation.
func (f *Fake) SetConfirmation(c Confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmation = &c
}

// Versions implements Documents.
func (f *Fake) Versions() []DocumentVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := make([]DocumentVersion, 0, len(f.documents))
	for _, d := range f.documents {
		versions = append(versions, d.DocumentVersion)
	}
	return versions
}

// Body implements Documents.
func (f *Fake) Body(name string) (Document, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.documents {
		if d.Name == name {
			return d, true
		}
	}
	return Document{}, false
}

// Offer implements Documents.
func (f *Fake) Offer(offer Offer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offers = append(f.offers, offer)
}

// Offers returns the offers received.
func (f *Fake) Offers() []Offer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Offer(nil), f.offers...)
}

// Observe implements EvidenceTable.
func (f *Fake) Observe(o blackboard.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed = append(f.observed, o)
}

// RecordLoss implements EvidenceTable.
func (f *Fake) RecordLoss(loss blackboard.Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losses = append(f.losses, loss)
}

// Losses returns the losses received.
func (f *Fake) Losses() []blackboard.Loss {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]blackboard.Loss(nil), f.losses...)
}

// Observations implements EvidenceTable.
func (f *Fake) Observations(maxAge time.Duration) []blackboard.Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fresh []blackboard.Observation
	for _, o := range f.observed {
		if time.Since(o.ObservedAt) <= maxAge {
			fresh = append(fresh, o)
		}
	}
	return fresh
}

// LocalDemand implements DemandSource.
func (f *Fake) LocalDemand() blackboard.NodeDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.demand
}

// Confirmation implements ConfirmationSource.
func (f *Fake) Confirmation() (Confirmation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmation == nil {
		return Confirmation{}, false
	}
	return *f.confirmation, true
}

// Pending implements ConfirmationSource.
func (f *Fake) Pending() (PendingRevision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending == nil {
		return PendingRevision{}, false
	}
	return *f.pending, true
}

// ObservePending implements ConfirmationSink.
func (f *Fake) ObservePending(p PendingRevision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = &p
}

// SetNotReady sets whether the node refuses exchanges.
func (f *Fake) SetNotReady(notReady bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notReady = notReady
}

// Ready implements ConfirmationSource.
func (f *Fake) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.notReady
}

// ObserveConfirmation implements ConfirmationSink.
func (f *Fake) ObserveConfirmation(node string, c Confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedBy == nil {
		f.confirmedBy = map[string]Confirmation{}
	}
	f.confirmedBy[node] = c
}

// ConfirmedBy returns the newest confirmation received from a peer.
func (f *Fake) ConfirmedBy(node string) (Confirmation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.confirmedBy[node]
	return c, ok
}
