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

// Announcer announces new document versions to peers.
type Announcer interface {
	AnnounceDocuments()
}

// Documents stores the newest version of each document and publishes it on the
// blackboard. Versions never decrease. It is safe for concurrent use.
type Documents struct {
	board  *blackboard.Board
	logger log.Logger
	// fetchContext is the context of all fetches; Close cancels it.
	fetchContext context.Context
	cancel       context.CancelFunc

	mu sync.Mutex
	// stored maps document names to the newest versions.
	stored map[string]peer.Document
	// fetches holds the fetches in flight.
	fetches map[peer.DocumentVersion]*fetch
	// newestOffered is the newest configuration revision that a peer offered.
	newestOffered fleet.Revision
	announcer     Announcer
}

var _ peer.Documents = (*Documents)(nil)

// NewDocuments returns an empty Documents.
func NewDocuments(board *blackboard.Board, logger log.Logger) *Documents {
	ctx, cancel := context.WithCancel(context.Background())
	return &Documents{
		board: board, logger: logger, fetchContext: ctx, cancel: cancel,
		stored: map[string]peer.Document{}, fetches: map[peer.DocumentVersion]*fetch{},
	}
}

// SetAnnouncer sets the Announcer for versions that were read from the platform or
// written by this process. Versions fetched from a peer are not announced, because the
// node that first had them has announced them to all members.
func (d *Documents) SetAnnouncer(a Announcer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announcer = a
}

// Close cancels the fetches in flight.
func (d *Documents) Close() { d.cancel() }

// Publish stores, publishes and announces a version that this process wrote to or read
// from the platform. stored is false without an error if the stored version is as new or
// newer.
func (d *Documents) Publish(name string, version uint64, body []byte) (stored bool, err error) {
	stored, err = d.store(peer.Document{
		DocumentVersion: peer.DocumentVersion{Name: name, Version: version}, Body: body,
	})
	if !stored || err != nil {
		return stored, err
	}
	d.mu.Lock()
	announcer := d.announcer
	d.mu.Unlock()
	if announcer != nil {
		announcer.AnnounceDocuments()
	}
	return true, nil
}

// PublishEmpty publishes an empty configuration with revision 0. It is called if no
// configuration was ever accepted.
func (d *Documents) PublishEmpty() {
	body, err := json.Marshal(fleet.Configuration{})
	if err == nil {
		_, _ = d.Publish(ConfigurationName, 0, body)
	}
}

// Revision returns the stored configuration revision; ok is false if there is none.
func (d *Documents) Revision() (revision fleet.Revision, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	document, ok := d.stored[ConfigurationName]
	return fleet.Revision(document.Version), ok
}

// NewestOffered returns the newest configuration revision that a peer offered.
func (d *Documents) NewestOffered() fleet.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newestOffered
}

// Versions implements peer.Documents.
func (d *Documents) Versions() []peer.DocumentVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	versions := make([]peer.DocumentVersion, 0, len(d.stored))
	for _, document := range d.stored {
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
	document, ok := d.stored[name]
	return document, ok
}

// isNewer reports whether a version is newer than the stored one. The caller holds the
// lock.
func (d *Documents) isNewer(v peer.DocumentVersion) bool {
	current, ok := d.stored[v.Name]
	return !ok || v.Version > current.Version
}

// store decodes, publishes and stores a document if it is newer than the stored one.
// Decoding happens under the lock, so that versions are published in order.
func (d *Documents) store(document peer.Document) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isNewer(document.DocumentVersion) {
		return false, nil
	}
	if err := d.publish(document); err != nil {
		return false, fmt.Errorf("document %s version %d: %w", document.Name, document.Version, err)
	}
	d.stored[document.Name] = document
	return true, nil
}

// publish decodes a document and publishes it in its section of the blackboard. The
// caller holds the lock.
func (d *Documents) publish(document peer.Document) error {
	if domain, ok := fabricDomainOf(document.Name); ok {
		return d.publishPlacement(domain, document)
	}
	switch document.Name {
	case ConfigurationName:
		return decodeAndPublish(document, &d.board.Configuration, func(c *fleet.Configuration) uint64 {
			return uint64(c.Revision)
		})
	case InstancesName:
		return decodeAndPublish(document, &d.board.Instances, func(l *fleet.InstanceList) uint64 {
			return l.Version
		})
	}
	return fmt.Errorf("unknown document name")
}

// decodeAndPublish decodes a document, checks the version in its body and publishes it
// in a section of the blackboard.
func decodeAndPublish[T any](document peer.Document, section *blackboard.Section[T], version func(*T) uint64) error {
	value := new(T)
	if err := json.Unmarshal(document.Body, value); err != nil {
		return err
	}
	if bodyVersion := version(value); bodyVersion != document.Version {
		return fmt.Errorf("body has version %d", bodyVersion)
	}
	section.Publish(value)
	return nil
}

// publishPlacement replaces the placement of one fabric domain in the published
// placements.
func (d *Documents) publishPlacement(domain string, document peer.Document) error {
	var placement fleet.Placement
	if err := json.Unmarshal(document.Body, &placement); err != nil {
		return err
	}
	if placement.FabricDomain != domain {
		return fmt.Errorf("body has fabric domain %q", placement.FabricDomain)
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
