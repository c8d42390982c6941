package replica

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer"
)

// fetchTimeout limits one fetch from one peer. It leaves time for several peers within
// the 12 s after which a configuration must be in force on all nodes.
const fetchTimeout = 1500 * time.Millisecond

// maxAlternativeOffers limits the queued offers of other peers for the same version.
const maxAlternativeOffers = 4

// fetch is the state of the fetch in flight of one version of one document.
type fetch struct {
	// alternatives are offers of the same version by other peers, used if a fetch fails.
	alternatives []peer.Offer
}

// Offer implements peer.Documents. It fetches a newer version in the background, with
// one fetch in flight per document and version.
func (d *Documents) Offer(offer peer.Offer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if offer.Name == ConfigurationName {
		d.newestOffered = max(d.newestOffered, fleet.Revision(offer.Version))
	}
	if !d.isNewer(offer.DocumentVersion) || d.fetchContext.Err() != nil {
		return
	}
	if inFlight, ok := d.fetches[offer.DocumentVersion]; ok {
		if len(inFlight.alternatives) < maxAlternativeOffers {
			inFlight.alternatives = append(inFlight.alternatives, offer)
		}
		return
	}
	d.fetches[offer.DocumentVersion] = &fetch{}
	go d.runFetch(offer)
}

// runFetch fetches an offered version, and tries the alternative offers in turn if that
// fails. If all of them fail, the next exchange with a peer offers the version again.
func (d *Documents) runFetch(offer peer.Offer) {
	for more := true; more; {
		err := d.fetchOnce(offer)
		if err != nil {
			_ = level.Warn(d.logger).Log("msg", "document fetch from peer failed", "document", offer.Name,
				"version", offer.Version, "peer", offer.Peer, "err", err)
		}
		offer, more = d.nextOffer(offer, err)
	}
}

// fetchOnce fetches the document from the peer of one offer and stores it.
func (d *Documents) fetchOnce(offer peer.Offer) error {
	ctx, cancel := context.WithTimeout(d.fetchContext, fetchTimeout)
	defer cancel()
	document, err := offer.Fetch(ctx)
	if err != nil {
		return err
	}
	_, err = d.store(document)
	return err
}

// nextOffer is called after a fetch with its error. It returns the offer to try next,
// or removes the fetch state and returns false.
func (d *Documents) nextOffer(offer peer.Offer, err error) (peer.Offer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	inFlight := d.fetches[offer.DocumentVersion]
	if err != nil && len(inFlight.alternatives) > 0 && d.isNewer(offer.DocumentVersion) {
		alternative := inFlight.alternatives[0]
		inFlight.alternatives = inFlight.alternatives[1:]
		return alternative, true
	}
	delete(d.fetches, offer.DocumentVersion)
	return peer.Offer{}, false
}
