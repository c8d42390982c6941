package replica

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer"
)

// fetchTimeout limits one attempt. It leaves time for several peers within the
// 12 s in which a configuration must be in force.
const fetchTimeout = 1500 * time.Millisecond

// maxAlternatives bounds the peers that one fetch may try.
const maxAlternatives = 4

// fetch is the fetch in progress of one version of one document.
type fetch struct {
	// alternatives are offers of the same version by other peers, used when the
	// current one fails.
	alternatives []peer.Offer
}

// Offer implements peer.Documents. It fetches a newer version in the background,
// with one fetch in progress per document and version.
func (d *Documents) Offer(offer peer.Offer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if offer.Name == ConfigurationName {
		d.offered = max(d.offered, fleet.Revision(offer.Version))
	}
	if !d.isNewer(offer.DocumentVersion) || d.fetchContext.Err() != nil {
		return
	}
	if running, ok := d.fetching[offer.DocumentVersion]; ok {
		if len(running.alternatives) < maxAlternatives {
			running.alternatives = append(running.alternatives, offer)
		}
		return
	}
	d.fetching[offer.DocumentVersion] = &fetch{}
	go d.run(offer)
}

// run fetches an offered version, from another peer if the first one fails. A
// peer that is asked later again offers the version in its next exchange.
func (d *Documents) run(offer peer.Offer) {
	for more := true; more; {
		err := d.attempt(offer)
		if err != nil {
			_ = level.Warn(d.logger).Log("msg", "fetch failed", "document", offer.Name,
				"version", offer.Version, "peer", offer.Peer, "err", err)
		}
		offer, more = d.next(offer, err)
	}
}

// attempt performs one fetch.
func (d *Documents) attempt(offer peer.Offer) error {
	ctx, cancel := context.WithTimeout(d.fetchContext, fetchTimeout)
	defer cancel()
	document, err := offer.Fetch(ctx)
	if err != nil {
		return err
	}
	_, err = d.accept(document)
	return err
}

// next ends an attempt and returns the offer to try next, if any.
func (d *Documents) next(offer peer.Offer, err error) (peer.Offer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := d.fetching[offer.DocumentVersion]
	if err != nil && len(running.alternatives) > 0 && d.isNewer(offer.DocumentVersion) {
		other := running.alternatives[0]
		running.alternatives = running.alternatives[1:]
		return other, true
	}
	delete(d.fetching, offer.DocumentVersion)
	return peer.Offer{}, false
}
