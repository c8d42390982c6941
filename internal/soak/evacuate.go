package soak

import (
	"fmt"
	"time"

	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

// Settings of the nodes on evacuations and cold servers, and limits from the users'
// requirements.
const (
	// evacuationTime is the time within which an evacuation must be in force.
	evacuationTime = 3 * time.Second
	// coldOverage and coldAllowance bound the requests to a cold engine in a second.
	coldOverage, coldAllowance = 1.5, 5
	// coldTime is how long engines are cold when their failure domain returns. It is longer
	// than the cold time of a start.
	coldTime = 2 * time.Second
)

// zoneOf returns the failure domain of the engines in a fabric domain.
func zoneOf(domain string) string { return "z-" + domain }

// evacuate evacuates the failure domain that a fault's target selects, and returns the
// function that takes it back. The engines are cold then.
func (d *deployment) evacuate(target int) (end func()) {
	domain := fmt.Sprint("d", target%engineDomains)
	zone, started := zoneOf(domain), time.Now()
	d.mu.Lock()
	d.evacuated[zone]++
	d.store.Put(platform.EvacuationKind, zone, struct{}{})
	d.mu.Unlock()
	return func() {
		d.checkEvacuated(domain, started)
		for _, e := range d.liveEngines() {
			if e.Domain == domain {
				e.SetCold(coldTime)
			}
		}
		d.mu.Lock()
		d.evacuated[zone]--
		returns := d.evacuated[zone] == 0
		if returns {
			delete(d.evacuated, zone)
			d.store.Delete(platform.EvacuationKind, zone)
		}
		d.mu.Unlock()
		if returned := time.Now(); returns {
			time.Sleep(coldTime)
			d.checkCold(domain, returned)
		}
	}
}

// rewriteEvacuations writes again what the store may have lost, as the operator. The caller
// holds the lock.
func (d *deployment) rewriteEvacuations() {
	for i := range engineDomains {
		zone := zoneOf(fmt.Sprint("d", i))
		d.store.Put(platform.EvacuationKind, zone, struct{}{})
		if d.evacuated[zone] == 0 {
			d.store.Delete(platform.EvacuationKind, zone)
		}
	}
}

// checkEvacuated checks that the engines of an evacuated domain got no requests once that was
// in force. Nodes and a store that were disturbed meanwhile may not have known it.
func (d *deployment) checkEvacuated(domain string, started time.Time) {
	if !d.calmSince(started) {
		return
	}
	d.checkArrivals(domain, started.Add(evacuationTime), time.Hour, 0, "in an evacuated failure domain")
}

// checkCold checks the requests to the engines of a domain that returned cold.
func (d *deployment) checkCold(domain string, returned time.Time) {
	if !d.calmSince(returned.Add(-coldTime)) {
		return
	}
	d.checkArrivals(domain, returned, time.Second, coldOverage*platformtest.ColdRate+coldAllowance, "in a second while it was cold")
}

// calmSince reports whether neither the nodes nor the store were disturbed since then.
func (d *deployment) calmSince(at time.Time) bool {
	for _, n := range d.nodes {
		if !n.undisturbedSince(at) {
			return false
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeDisturbedUntil.Before(at)
}

// checkArrivals records a violation for each engine of a domain that got more requests within
// a window than allowed.
func (d *deployment) checkArrivals(domain string, from time.Time, window time.Duration, allowed int, what string) {
	for _, e := range d.liveEngines() {
		if n := e.MostArrivals(from, window); e.Domain == domain && n > allowed {
			d.mu.Lock()
			d.found = append(d.found, fmt.Sprintf("%s got %d requests %s, %d are allowed", e.ID, n, what, allowed))
			d.mu.Unlock()
		}
	}
}
