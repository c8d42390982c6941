package replica

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer"
)

// Announcer tells peers that a document has a new version.
type Announcer interface {
	AnnounceDocuments()
}

// Documents holds the newest version of each document and publishes it on the
// blackboard. A version never goes back. It is safe for concurrent use.
type Documents struct {
	board  *blackboard.Board
	logger log.Logger
	// fetchContext ends the fetches in progress on Close.
	fetchContext context.Context
	cancel       context.CancelFunc

	mu        sync.Mutex
	held      map[string]peer.Document
	fetching  map[peer.DocumentVersion]*fetch
	offered   fleet.Revision
	announcer Announcer
}

var _ peer.Documents = (*Documents)(nil)

// NewDocuments returns an empty Documents.
func NewDocuments(board *blackboard.Board, logger log.Logger) *Documents {
	ctx, cancel := context.WithCancel(context.Background())
	return &Documents{
		board: board, logger: logger, fetchContext: ctx, cancel: cancel,
		held: map[string]peer.Document{}, fetching: map[peer.DocumentVersion]*fetch{},
	}
}

// SetAnnouncer sets who is told about versions learnt from the platform or
// written by this process. A version learnt from a peer is not announced,
// because the peer's source has told everyone.
func (d *Documents) SetAnnouncer(a Announcer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announcer = a
}

// Close ends the fetches in progress.
func (d *Documents) Close() { d.cancel() }

// Publish takes in a version that this process wrote or read at the platform
// and announces it. accepted=false without an error means that the version held
// is as new or newer.
func (d *Documents) Publish(name string, version uint64, body []byte) (accepted bool, err error) {
	accepted, err = d.accept(peer.Document{
		DocumentVersion: peer.DocumentVersion{Name: name, Version: version}, Body: body,
	})
	if !accepted || err != nil {
		return accepted, err
	}
	d.mu.Lock()
	announcer := d.announcer
	d.mu.Unlock()
	if announcer != nil {
		announcer.AnnounceDocuments()
	}
	return true, nil
}

// PublishEmpty takes in that no configuration was ever accepted: revision 0.
func (d *Documents) PublishEmpty() {
	body, err := json.Marshal(fleet.Configuration{})
	if err == nil {
		_, _ = d.Publish(ConfigurationName, 0, body)
	}
}

// Revision returns the configuration revision held; ok=false if none is.
func (d *Documents) Revision() (revision fleet.Revision, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, ok := d.held[ConfigurationName]
	return fleet.Revision(held.Version), ok
}

// NewestOffered returns the newest configuration revision that a peer offered.
func (d *Documents) NewestOffered() fleet.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.offered
}

// Versions implements peer.Documents.
func (d *Documents) Versions() []peer.DocumentVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	versions := make([]peer.DocumentVersion, 0, len(d.held))
	for _, document := range d.held {
		versions = append(versions, document.DocumentVersion)
	}
	slices.SortFunc(versions, func(a, b peer.DocumentVersion) int {
		return cmp.Or(compareBool(b.Name == ConfigurationName, a.Name == ConfigurationName),
			cmp.Compare(a.Name, b.Name))
	})
	return versions
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Body implements peer.Documents.
func (d *Documents) Body(name string) (peer.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	document, ok := d.held[name]
	return document, ok
}

// isNewer reports whether a version is newer than the one held; the caller
// holds the lock.
func (d *Documents) isNewer(v peer.DocumentVersion) bool {
	held, ok := d.held[v.Name]
	return !ok || v.Version > held.Version
}

// accept decodes and publishes a document if it is newer than the one held.
// Decoding happens under the lock, so that versions are published in order.
func (d *Documents) accept(document peer.Document) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isNewer(document.DocumentVersion) {
		return false, nil
	}
	if err := d.publish(document); err != nil {
		return false, fmt.Errorf("document %s version %d: %w", document.Name, document.Version, err)
	}
	d.held[document.Name] = document
	return true, nil
}

// publish decodes a document into its section; the caller holds the lock.
func (d *Documents) publish(document peer.Document) error {
	if domain, ok := fabricDomainOf(document.Name); ok {
		return d.publishPlacement(domain, document)
	}
	switch document.Name {
	case ConfigurationName:
		return decode(document, &d.board.Configuration, func(c *fleet.Configuration) uint64 {
			return uint64(c.Revision)
		})
	case InstancesName:
		return decode(document, &d.board.Instances, func(l *fleet.InstanceList) uint64 {
			return l.Version
		})
	}
	return fmt.Errorf("unknown document name")
}

// decode parses a body that states its own version and publishes it.
func decode[T any](document peer.Document, section *blackboard.Section[T], version func(*T) uint64) error {
	value := new(T)
	if err := json.Unmarshal(document.Body, value); err != nil {
		return err
	}
	if stated := version(value); stated != document.Version {
		return fmt.Errorf("the body states version %d", stated)
	}
	section.Publish(value)
	return nil
}

// publishPlacement replaces one fabric domain in the published placements.
func (d *Documents) publishPlacement(domain string, document peer.Document) error {
	var placement fleet.Placement
	if err := json.Unmarshal(document.Body, &placement); err != nil {
		return err
	}
	if placement.FabricDomain != domain {
		return fmt.Errorf("the body states fabric domain %q", placement.FabricDomain)
	}
	if err := placement.Validate(); err != nil {
		return err
	}
	next := map[string]*blackboard.VersionedPlacement{}
	if current := d.board.Placements.Load(); current != nil {
		next = maps.Clone(current.ByDomain)
	}
	next[domain] = &blackboard.VersionedPlacement{
		Version: document.Version, Placement: placement, ChangedAt: time.Now(),
	}
	d.board.Placements.Publish(&blackboard.Placements{ByDomain: next})
	return nil
}
